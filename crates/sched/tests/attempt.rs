//! May a request have run, and may it run again?

use sched::attempt::{Attempt, Loss, Next, Progress};
use sched::route::Kind;

const STREAM: Kind = Kind::Stream { resumable: true };
const PLAIN_STREAM: Kind = Kind::Stream { resumable: false };

/// One step of a request's life.
enum Step {
    Refused(&'static str),
    Absent(&'static str),
    Unsent(&'static str),
    Lost(&'static str, Loss),
}

use Step::{Absent, Lost, Refused, Unsent};

/// Sends and takes each step; returns what follows the last one.
fn walk(kind: Kind, max_attempts: u32, steps: &[Step]) -> (Next, Progress) {
    let mut attempt = Attempt::new(kind, max_attempts);
    let mut next = Next::Anywhere;
    for step in steps {
        attempt.send();
        next = match step {
            Refused(endpoint) => attempt.refuse(&(*endpoint).into()),
            Absent(endpoint) => attempt.absent(&(*endpoint).into()),
            Unsent(endpoint) => attempt.unsent(&(*endpoint).into()),
            Lost(endpoint, loss) => attempt.lose(&(*endpoint).into(), *loss),
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
        Kind::Unsafe, 1, [Refused("a")] => Next::Anywhere, NotRun;
    an_unsafe_request_that_did_not_leave_goes_again:
        Kind::Unsafe, 1, [Unsent("a")] => Next::Anywhere, NotRun;
    a_lost_unsafe_request_is_never_sent_again:
        Kind::Unsafe, 3, [Lost("a", Loss::Alive)] => Next::Unknown, MayHaveRun;
    a_lost_unsafe_request_is_never_sent_again_from_a_dead_endpoint:
        Kind::Unsafe, 3, [Lost("a", Loss::Gone)] => Next::Unknown, MayHaveRun;
    a_refusal_before_a_loss_changes_nothing:
        Kind::Unsafe, 3, [Refused("a"), Lost("b", Loss::Gone)] => Next::Unknown, MayHaveRun;
    a_stream_that_cannot_resume_is_unsafe:
        PLAIN_STREAM, 2, [Lost("a", Loss::Alive)] => Next::Unknown, MayHaveRun;
    a_lost_safe_request_goes_elsewhere_within_its_attempts:
        Kind::Safe, 2, [Lost("a", Loss::Alive)] => Next::Anywhere, MayHaveRun;
    a_lost_safe_request_stays_when_its_attempts_are_used:
        Kind::Safe, 2, [Lost("a", Loss::Alive), Lost("b", Loss::Alive)]
            => Next::Same("b".into()), MayHaveRun;
    an_endpoint_that_resets_gets_a_few_chances:
        STREAM, 1, [Lost("a", Loss::Reset), Lost("a", Loss::Reset), Lost("a", Loss::Reset)]
            => Next::Same("a".into()), MayHaveRun;
    an_endpoint_that_goes_on_resetting_is_left:
        STREAM, 1,
        [
            Lost("a", Loss::Reset), Lost("a", Loss::Reset), Lost("a", Loss::Reset),
            Lost("a", Loss::Reset)
        ] => Next::Anywhere, MayHaveRun;
    a_run_that_breaks_off_between_resets_counts_anew:
        STREAM, 1,
        [
            Lost("a", Loss::Reset), Lost("a", Loss::Reset), Lost("a", Loss::Alive),
            Lost("a", Loss::Reset), Lost("a", Loss::Reset)
        ] => Next::Same("a".into()), MayHaveRun;
    a_reset_unsafe_request_is_never_sent_again:
        Kind::Unsafe, 3, [Lost("a", Loss::Reset)] => Next::Unknown, MayHaveRun;
    a_stream_resumes_at_its_endpoint:
        STREAM, 1, [Lost("a", Loss::Alive)] => Next::Same("a".into()), MayHaveRun;
    a_stream_resumes_elsewhere_when_its_endpoint_is_gone:
        STREAM, 1, [Lost("a", Loss::Gone)] => Next::Anywhere, MayHaveRun;
    a_resumed_stream_that_is_refused_is_not_said_not_to_have_run:
        STREAM, 1, [Lost("a", Loss::Gone), Refused("b")] => Next::Anywhere, MayHaveRun;
    a_late_stream_that_is_refused_next_may_still_have_run_before:
        STREAM, 1, [Lost("a", Loss::Alive), Refused("a"), Refused("a")]
            => Next::Same("a".into()), MayHaveRun;
    a_refusal_elsewhere_does_not_free_the_attempt_that_was_used:
        STREAM, 2, [Lost("a", Loss::Alive), Refused("b"), Lost("b", Loss::Alive), Refused("b")]
            => Next::Same("b".into()), MayHaveRun;
    a_stream_goes_elsewhere_once_its_endpoint_takes_no_connection:
        STREAM, 1, [Lost("a", Loss::Alive), Absent("a")] => Next::Anywhere, MayHaveRun;
}

#[test]
fn a_request_under_way_that_is_given_up_is_unknown() {
    let mut attempt = Attempt::new(Kind::Safe, 1);
    assert_eq!(attempt.give_up(), Next::RefuseNotRun);
    attempt.send();
    assert_eq!(attempt.give_up(), Next::Unknown);
}

#[test]
fn refusals_end() {
    let mut attempt = Attempt::new(Kind::Unsafe, 1);
    let mut tries = 0;
    loop {
        attempt.send();
        tries += 1;
        if attempt.refuse(&format!("e{tries}").as_str().into()) == Next::RefuseNotRun {
            break;
        }
        assert!(tries < 50, "a request is offered for ever");
    }
    assert_eq!(attempt.progress(), Progress::NotRun);
}

#[test]
fn an_endpoint_that_refuses_what_it_may_have_run_is_asked_later_and_later() {
    let mut attempt = Attempt::new(STREAM, 1);
    attempt.send();
    attempt.lose(&"a".into(), Loss::Alive);
    let mut pauses = vec![attempt.pause().as_millis()];
    while attempt.refuse(&"a".into()) == Next::Same("a".into()) {
        attempt.send();
        pauses.push(attempt.pause().as_millis());
    }
    assert_eq!(pauses, [5, 10, 20, 40, 80, 160, 160, 160]);
    assert_eq!(attempt.progress(), Progress::MayHaveRun);
}

#[test]
fn an_endpoint_is_asked_again_later_and_later() {
    let mut attempt = Attempt::new(STREAM, 1);
    let mut pauses = Vec::new();
    for _ in 0..8 {
        attempt.send();
        attempt.lose(&"a".into(), Loss::Alive);
        pauses.push(attempt.pause().as_millis());
    }
    assert_eq!(pauses, [5, 10, 20, 40, 80, 160, 160, 160]);
}
