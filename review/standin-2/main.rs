//! Scripts of this review; the first argument names the case.

mod attempts;
mod base;
mod counted;
mod leaving;
mod stopped;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let run = match case.as_str() {
        "attempts" => attempts::run,
        "counted" => counted::run,
        "leaving" => leaving::run,
        "stopped" => stopped::run,
        _ => {
            eprintln!("unknown case {case:?}");
            std::process::exit(2);
        }
    };
    // A panic says that the case could not run; it has ended the processes by then.
    std::process::exit(std::panic::catch_unwind(run).unwrap_or(2));
}
