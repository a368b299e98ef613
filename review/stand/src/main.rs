//! Runs one case of the review: `review-stand CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod case1;
mod case2;
mod common;

use std::process::ExitCode;

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: review-stand CASE RECORD");
        return ExitCode::from(2);
    };
    let record = common::Record::new(record);
    // `TROUBLE=0` leaves the disruption out.
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let run = match case.as_str() {
        "1" => tokio::spawn(async move { case1::run(&record, trouble).await }),
        "2" => tokio::spawn(async move { case2::run(record.into(), trouble).await }),
        _ => return ExitCode::from(2),
    };
    match run.await {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(2),
    }
}
