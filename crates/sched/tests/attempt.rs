//! May a request have run, and may it run again?

use sched::attempt::{Action, Attempt, Failure, Progress};
use sched::route::Kind;

const STREAM: Kind = Kind::Stream { resumable: true };
const PLAIN_STREAM: Kind = Kind::Stream { resumable: false };

/// One step of a request's life.
enum Step {
    Refused(&'static str),
    Absent(&'static str),
    Unsent(&'static str),
    Lost(&'static str, Failure),
}

use Step::{Absent, Lost, Refused, Unsent};

/// Sends and takes each step; returns what follows the last one.
fn walk(kind: Kind, max_attempts: u32, steps: &[Step]) -> (Action, Progress) {
    let mut attempt = Attempt::new(kind, max_attempts);
    let mut next = Action::RetryAny;
    for step in steps {
        attempt.on_send();
        next = match step {
            Refused(endpoint) => attempt.on_refusal(&(*endpoint).into()),
            Absent(endpoint) => attempt.on_gone(&(*endpoint).into()),
            Unsent(endpoint) => attempt.on_stale_connection(&(*endpoint).into()),
            Lost(endpoint, loss) => attempt.on_failure(&(*endpoint).into(), *loss),
        };
    }
    (next, attempt.progress())
}

macro_rules! walks {
    ($($name:ident: $kind:expr, $max:expr, [$($step:expr),*] => $next:expr, $progress:ident;)*) => {
        $(#[test] fn $name() {
            assert_eq!(walk($kind, $max, &[$($step),*]), ($next, Progress::$progress));
        })*
    };
}

walks! {
    a_refused_unsafe_request_goes_elsewhere:
        Kind::Unsafe, 1, [Refused("a")] => Action::RetryAny, NotRun;
    an_unsafe_request_that_did_not_leave_goes_again:
        Kind::Unsafe, 1, [Unsent("a")] => Action::RetryAny, NotRun;
    a_lost_unsafe_request_is_never_sent_again:
        Kind::Unsafe, 3, [Lost("a", Failure::Incomplete)] => Action::FailUnknown, MayHaveRun;
    a_lost_unsafe_request_is_never_sent_again_from_a_dead_endpoint:
        Kind::Unsafe, 3, [Lost("a", Failure::Gone)] => Action::FailUnknown, MayHaveRun;
    a_refusal_before_a_loss_changes_nothing:
        Kind::Unsafe, 3, [Refused("a"), Lost("b", Failure::Gone)] => Action::FailUnknown, MayHaveRun;
    a_stream_that_cannot_resume_is_unsafe:
        PLAIN_STREAM, 2, [Lost("a", Failure::Incomplete)] => Action::FailUnknown, MayHaveRun;
    a_lost_safe_request_goes_elsewhere_within_its_attempts:
        Kind::Safe, 2, [Lost("a", Failure::Incomplete)] => Action::RetryAny, MayHaveRun;
    a_lost_safe_request_stays_when_its_attempts_are_used:
        Kind::Safe, 2, [Lost("a", Failure::Incomplete), Lost("b", Failure::Incomplete)]
            => Action::RetrySame("b".into()), MayHaveRun;
    an_endpoint_that_resets_gets_a_few_chances:
        STREAM, 1, [Lost("a", Failure::Reset), Lost("a", Failure::Reset), Lost("a", Failure::Reset)]
            => Action::RetrySame("a".into()), MayHaveRun;
    an_endpoint_that_goes_on_resetting_is_left:
        STREAM, 1,
        [
            Lost("a", Failure::Reset), Lost("a", Failure::Reset), Lost("a", Failure::Reset),
            Lost("a", Failure::Reset)
        ] => Action::RetryAny, MayHaveRun;
    a_run_that_breaks_off_between_resets_counts_anew:
        STREAM, 1,
        [
            Lost("a", Failure::Reset), Lost("a", Failure::Reset), Lost("a", Failure::Incomplete),
            Lost("a", Failure::Reset), Lost("a", Failure::Reset)
        ] => Action::RetrySame("a".into()), MayHaveRun;
    a_reset_unsafe_request_is_never_sent_again:
        Kind::Unsafe, 3, [Lost("a", Failure::Reset)] => Action::FailUnknown, MayHaveRun;
    a_stream_resumes_at_its_endpoint:
        STREAM, 1, [Lost("a", Failure::Incomplete)] => Action::RetrySame("a".into()), MayHaveRun;
    a_stream_resumes_elsewhere_when_its_endpoint_is_gone:
        STREAM, 1, [Lost("a", Failure::Gone)] => Action::RetryAny, MayHaveRun;
    a_resumed_stream_that_is_refused_is_not_said_not_to_have_run:
        STREAM, 1, [Lost("a", Failure::Gone), Refused("b")] => Action::RetryAny, MayHaveRun;
    a_late_stream_that_is_refused_next_may_still_have_run_before:
        STREAM, 1, [Lost("a", Failure::Incomplete), Refused("a"), Refused("a")]
            => Action::RetrySame("a".into()), MayHaveRun;
    a_refusal_elsewhere_does_not_free_the_attempt_that_was_used:
        STREAM, 2, [Lost("a", Failure::Incomplete), Refused("b"), Lost("b", Failure::Incomplete), Refused("b")]
            => Action::RetrySame("b".into()), MayHaveRun;
    a_stream_goes_elsewhere_once_its_endpoint_takes_no_connection:
        STREAM, 1, [Lost("a", Failure::Incomplete), Absent("a")] => Action::RetryAny, MayHaveRun;
}

#[test]
fn a_request_under_way_that_is_given_up_is_unknown() {
    let mut attempt = Attempt::new(Kind::Safe, 1);
    assert_eq!(attempt.give_up(), Action::FailNotRun);
    attempt.on_send();
    assert_eq!(attempt.give_up(), Action::FailUnknown);
}

#[test]
fn refusals_end() {
    let mut attempt = Attempt::new(Kind::Unsafe, 1);
    let mut tries = 0;
    loop {
        attempt.on_send();
        tries += 1;
        if attempt.on_refusal(&format!("e{tries}").as_str().into()) == Action::FailNotRun {
            break;
        }
        assert!(tries < 50, "a request is offered for ever");
    }
    assert_eq!(attempt.progress(), Progress::NotRun);
}

#[test]
fn an_endpoint_that_refuses_what_it_may_have_run_is_asked_later_and_later() {
    let mut attempt = Attempt::new(STREAM, 1);
    attempt.on_send();
    attempt.on_failure(&"a".into(), Failure::Incomplete);
    let mut pauses = vec![attempt.backoff().as_millis()];
    while attempt.on_refusal(&"a".into()) == Action::RetrySame("a".into()) {
        attempt.on_send();
        pauses.push(attempt.backoff().as_millis());
    }
    assert_eq!(pauses, [5, 10, 20, 40, 80, 160, 160, 160]);
    assert_eq!(attempt.progress(), Progress::MayHaveRun);
}

#[test]
fn an_endpoint_is_asked_again_later_and_later() {
    let mut attempt = Attempt::new(STREAM, 1);
    let mut pauses = Vec::new();
    for _ in 0..8 {
        attempt.on_send();
        attempt.on_failure(&"a".into(), Failure::Incomplete);
        pauses.push(attempt.backoff().as_millis());
    }
    assert_eq!(pauses, [5, 10, 20, 40, 80, 160, 160, 160]);
}
