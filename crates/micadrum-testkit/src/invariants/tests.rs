//! Each invariant is tested with observations that violate it, and with similar ones that do not.
use super::*;
use crate::observation::{AttemptResult, SubmissionAnswer};
use crate::plan::{Class, MAX_ATTEMPTS};

const S: Micros = 1_000_000;

/// Feeds the observations of a run to a checker.
#[derive(Default)]
struct TestRun {
    checker: InvariantChecker,
    now: Micros,
    next_call: u64,
}

impl TestRun {
    fn at(&mut self, at: Micros) -> &mut Self {
        assert!(at >= self.now, "observations come in order");
        self.now = at;
        self
    }

    fn observe(&mut self, observation: Observation) -> &mut Self {
        self.checker.observe(self.now, &observation);
        self
    }

    fn accepted(&mut self, id: &str, class: Class, vehicle: Option<u32>) -> &mut Self {
        let deadline = self.now + class.deadline().0;
        let id = id.to_owned();
        let operation = 0;
        self.observe(Observation::Submitted {
            id: id.clone(),
            operation,
            sender: 0,
            class,
            vehicle,
            deadline,
        });
        self.observe(Observation::Answered { id, answer: SubmissionAnswer::Accepted })
    }

    fn begin_call(&mut self, ids: &[&str]) -> u64 {
        self.begin_call_at(ids, 0, self.now)
    }

    fn begin_call_at(&mut self, ids: &[&str], sender: u32, sent_at: Micros) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        let ids = ids.iter().map(|id| (*id).to_owned()).collect();
        self.observe(Observation::CallBegan {
            call,
            sender,
            endpoint: "e".to_owned(),
            route: 0,
            ids,
            sent_at,
        });
        call
    }

    fn replied(&mut self, call: u64, id: &str, end: AttemptResult) -> &mut Self {
        self.replied_with_wait(call, id, end, None)
    }

    fn replied_with_wait(
        &mut self,
        call: u64,
        id: &str,
        end: AttemptResult,
        retry_after: Option<Micros>,
    ) -> &mut Self {
        let (received_at, in_flight_until) = (self.now, self.now);
        self.observe(Observation::CallAnswered {
            call,
            ends: vec![(id.to_owned(), end)],
            retry_after,
            received_at,
            in_flight_until,
        })
    }

    fn closed(&mut self, call: u64) -> &mut Self {
        let closed_at = self.now;
        self.observe(Observation::CallClosed { call, closed_at })
    }

    fn notified(&mut self, id: &str, returned: bool) -> &mut Self {
        self.observe(Observation::Notified { id: id.to_owned(), returned })
    }

    fn restart(&mut self, from: Micros, ready: Micros) -> &mut Self {
        self.at(from)
            .observe(Observation::ShutdownRequested { sender: 0, killed: true })
            .observe(Observation::Exited { sender: 0, expected: true });
        self.at(ready).observe(Observation::Ready { sender: 0 })
    }

    fn violations(&mut self) -> Vec<Invariant> {
        let verdict = std::mem::take(&mut self.checker).verdict(self.now + 100 * S);
        verdict.counts.into_keys().collect()
    }
}

use AttemptResult::{Delivered, Failed, Overloaded};
use Class::{Charge, TripRecord};

/// Guards against violations reported for a sender that keeps all invariants, also at their limits.
#[test]
fn reports_nothing_for_a_run_without_violations() {
    let mut run = TestRun::default();
    run.accepted("a", Charge, None).accepted("k1", TripRecord, Some(7)).accepted("k2", TripRecord, Some(7));
    let (a, k1) = (run.begin_call(&["a"]), run.begin_call(&["k1"]));
    // A rejected call took no effect: a charge may be sent again after the Retry-After time.
    run.at(S).replied_with_wait(a, "a", Overloaded, Some(2 * S)).replied(k1, "k1", Failed);
    let (a, k1) = (run.at(2 * S).begin_call(&["a"]), run.begin_call(&["k1"]));
    run.at(3 * S)
        .closed(k1)
        .observe(Observation::TookEffect { id: "a".to_owned() })
        .replied(a, "a", Delivered);
    // A trip record may be repeated within its key's lifetime, once the first call is closed.
    let k1 = run.at(4 * S).begin_call(&["k1"]);
    run.at(5 * S).replied(k1, "k1", Delivered);
    let k2 = run.begin_call(&["k2"]);
    run.replied(k2, "k2", Delivered);
    // A restart excuses overdue messages, and the new process does not know the Retry-After.
    run.accepted("late", Charge, None);
    let call = run.begin_call(&["late"]);
    run.replied_with_wait(call, "late", Overloaded, Some(60 * S));
    run.restart(20 * S, 23 * S);
    let call = run.begin_call(&["late"]);
    run.at(24 * S).replied(call, "late", Failed).notified("late", false);
    assert_eq!(run.violations(), []);
}

/// Guards against a message without an end that is not reported.
#[test]
fn reports_an_accepted_message_without_an_end_as_lost() {
    let mut run = TestRun::default();
    run.accepted("a", Charge, None).at(60 * S);
    assert_eq!(run.violations(), [Invariant::Lost]);
    // The message is also reported when the run goes on for long after its deadline.
    run = TestRun::default();
    run.accepted("a", Charge, None);
    for n in 1..20 {
        run.at(n * 10 * S).observe(Observation::Ready { sender: 0 });
    }
    assert_eq!(run.violations(), [Invariant::Lost]);
    // A message is not lost if its sender's machine was lost.
    run = TestRun::default();
    run.accepted("a", Charge, None).at(S).observe(Observation::MachineLost { sender: 0 }).at(60 * S);
    assert_eq!(run.violations(), []);
}

/// Guards against a client's connection that closes without an answer while its sender keeps running.
#[test]
fn reports_a_connection_closed_without_an_answer_unless_the_sender_exits() {
    for (ended, expected) in [(None, vec![Invariant::Lost]), (Some(S + 1), vec![])] {
        let mut run = TestRun::default();
        let (id, class, deadline) = ("a".to_owned(), Charge, 16 * S);
        run.observe(Observation::Submitted {
            id: id.clone(),
            operation: 0,
            sender: 0,
            class,
            vehicle: None,
            deadline,
        });
        run.at(S).observe(Observation::Answered { id, answer: SubmissionAnswer::ConnectionClosed });
        if let Some(at) = ended {
            run.restart(at, at + S);
        }
        run.at(5 * S).observe(Observation::Ready { sender: 1 });
        assert_eq!(run.violations(), expected);
    }
}

/// Guards against a client's connection that closes without an answer when its sender exits after SIGTERM.
#[test]
fn reports_a_connection_closed_without_an_answer_at_a_graceful_exit() {
    let mut run = TestRun::default();
    let (id, class, deadline) = ("a".to_owned(), Charge, 16 * S);
    run.observe(Observation::Submitted {
        id: id.clone(),
        operation: 0,
        sender: 0,
        class,
        vehicle: None,
        deadline,
    });
    run.at(S).observe(Observation::ShutdownRequested { sender: 0, killed: false });
    run.at(2 * S).observe(Observation::Answered { id, answer: SubmissionAnswer::ConnectionClosed });
    run.observe(Observation::Exited { sender: 0, expected: true });
    run.at(3 * S).observe(Observation::Ready { sender: 0 });
    run.at(5 * S).observe(Observation::Ready { sender: 1 });
    assert_eq!(run.violations(), [Invariant::Lost]);
}

/// Guards against a message that ends too long after its deadline.
#[test]
fn reports_a_message_that_ends_after_its_limit_as_late() {
    for (at, expected) in [(16 * S + 340_000, vec![]), (16 * S + 360_000, vec![Invariant::Late])] {
        let mut run = TestRun::default();
        run.accepted("a", Charge, None).at(at).notified("a", false);
        assert_eq!(run.violations(), expected, "at {at}");
    }
}

/// Guards against messages that are sent after their end, after a rejection, or without a submission.
#[test]
fn reports_attempts_to_send_ended_rejected_or_unknown_messages() {
    let mut run = TestRun::default();
    run.accepted("a", TripRecord, None).at(S).notified("a", true).at(2 * S).begin_call(&["a"]);
    assert_eq!(run.violations(), [Invariant::SentAfterEnd]);
    let mut run = TestRun::default();
    run.begin_call(&["unknown"]);
    assert_eq!(run.violations(), [Invariant::SentAfterEnd]);
    let mut run = TestRun::default();
    let (id, answer) = ("a".to_owned(), SubmissionAnswer::Rejected);
    let (class, deadline) = (Charge, 16 * S);
    run.observe(Observation::Submitted {
        id: id.clone(),
        operation: 0,
        sender: 0,
        class,
        vehicle: None,
        deadline,
    });
    run.observe(Observation::Answered { id, answer }).at(S).begin_call(&["a"]);
    assert_eq!(run.violations(), [Invariant::SentAfterEnd]);
}

/// Guards against second effects, and against attempts and returns that may lead to one.
#[test]
fn reports_second_effects_and_what_may_cause_them() {
    let mut run = TestRun::default();
    run.accepted("a", Charge, None);
    let call = run.begin_call(&["a"]);
    run.at(S).replied(call, "a", Failed).at(2 * S).begin_call(&["a"]);
    run.notified("a", false);
    assert_eq!(run.violations(), [Invariant::Duplicated], "a repeated charge that may have taken effect");
    let mut run = TestRun::default();
    run.accepted("a", Charge, None);
    let call = run.begin_call(&["a"]);
    run.at(S).closed(call).at(2 * S).notified("a", true);
    assert_eq!(run.violations(), [Invariant::Duplicated], "a returned charge that may have taken effect");
    let mut run = TestRun::default();
    run.accepted("a", TripRecord, None);
    let call = run.begin_call(&["a"]);
    run.at(S).closed(call).at(5 * S + 100_000).begin_call(&["a"]);
    run.notified("a", false);
    assert_eq!(run.violations(), [Invariant::Duplicated], "a trip record repeated after its key's lifetime");
    let mut run = TestRun::default();
    run.accepted("a", TripRecord, None).observe(Observation::TookEffect { id: "a".to_owned() });
    run.at(S).observe(Observation::TookEffect { id: "a".to_owned() }).notified("a", false);
    assert_eq!(run.violations(), [Invariant::Duplicated], "two effects");
    let mut run = TestRun::default();
    run.accepted("a", Charge, None);
    run.begin_call(&["a"]);
    run.restart(S, 2 * S).begin_call(&["a"]);
    run.notified("a", false);
    assert_eq!(
        run.violations(),
        [Invariant::Duplicated],
        "a charge repeated after its process was killed with the call in flight"
    );
}

/// Guards against two calls in flight with the same message, observed in either order.
#[test]
fn reports_concurrent_attempts() {
    let mut run = TestRun::default();
    run.accepted("a", TripRecord, None);
    let first = run.begin_call(&["a"]);
    let second = run.at(S).begin_call(&["a"]);
    run.at(2 * S).closed(first).replied(second, "a", Delivered);
    assert_eq!(run.violations(), [Invariant::ConcurrentAttempts]);
    // The call that was sent first arrives last, as a link held it back.
    let mut run = TestRun::default();
    run.accepted("a", TripRecord, None);
    let second = run.at(S).begin_call(&["a"]);
    let first = run.at(2 * S).begin_call_at(&["a"], 0, 0);
    run.at(3 * S).closed(first).replied(second, "a", Delivered);
    assert_eq!(run.violations(), [Invariant::ConcurrentAttempts]);
}

/// Guards against more attempts than the limit allows.
#[test]
fn reports_an_attempt_beyond_the_limit() {
    for (attempts, expected) in [(MAX_ATTEMPTS, vec![]), (MAX_ATTEMPTS + 1, vec![Invariant::TooManyAttempts])]
    {
        let mut run = TestRun::default();
        run.accepted("a", Charge, None);
        for n in 0..attempts {
            let call = run.at(u64::from(n) * S).begin_call(&["a"]);
            run.replied(call, "a", Overloaded);
        }
        run.notified("a", true);
        assert_eq!(run.violations(), expected);
    }
}

/// Guards against calls to endpoints that the sender knows to be draining or removed.
#[test]
fn reports_a_call_to_a_draining_endpoint_after_the_grace_period() {
    for (after, expected) in [(S, vec![]), (S + 100_000, vec![Invariant::SentToDraining])] {
        let mut run = TestRun::default();
        run.accepted("a", Charge, None);
        run.observe(Observation::Listed { sender: 0, endpoint: "e".to_owned(), serving: false });
        let call = run.at(after).begin_call(&["a"]);
        run.replied(call, "a", Delivered);
        assert_eq!(run.violations(), expected);
    }
}

/// Guards against a recovering destination that is overloaded by senders that had seen its outage, and
/// against violations reported for senders that had not.
#[test]
fn reports_an_overload_only_by_senders_that_saw_the_outage() {
    for (saw_outage, expected) in [(true, vec![Invariant::OverloadedInSlowStart]), (false, vec![])] {
        let mut run = TestRun::default();
        run.accepted("a", TripRecord, None);
        if saw_outage {
            run.observe(Observation::Outage { route: 0, began: true });
        }
        let call = run.begin_call(&["a"]);
        run.at(S).closed(call);
        if !saw_outage {
            run.observe(Observation::Outage { route: 0, began: true });
        }
        run.at(2 * S).observe(Observation::Outage { route: 0, began: false });
        run.at(3 * S)
            .observe(Observation::Overloaded {
                route: 0,
                senders: vec![0, 0, 1],
                budget: 2.0,
                endpoint: "e".to_owned(),
            })
            .notified("a", true);
        assert_eq!(run.violations(), expected);
    }
}

/// Guards against messages of one ordering key that are sent out of order or concurrently.
#[test]
fn reports_messages_of_a_key_sent_out_of_order() {
    let mut run = TestRun::default();
    run.accepted("k1", TripRecord, Some(7)).accepted("k2", TripRecord, Some(7));
    let call = run.begin_call(&["k2"]);
    run.replied(call, "k2", Delivered);
    let call = run.at(S).begin_call(&["k1"]);
    run.replied(call, "k1", Delivered);
    assert_eq!(run.violations(), [Invariant::OutOfOrder]);
    // The first message ended by its notification, but its call is still in flight.
    let mut run = TestRun::default();
    run.accepted("k1", TripRecord, Some(7)).accepted("k2", TripRecord, Some(7));
    let first = run.begin_call(&["k1"]);
    run.at(S).notified("k1", false);
    let second = run.at(2 * S).begin_call(&["k2"]);
    run.at(3 * S).closed(first).replied(second, "k2", Delivered);
    assert_eq!(run.violations(), [Invariant::OutOfOrder]);
}

/// Guards against a call that counts as in flight until its process exited although the process had closed it
/// before, and against a call whose end is never observed and that counts as ended.
#[test]
fn a_call_ends_when_its_connection_was_closed_or_else_with_its_process() {
    // A link that holds packets back delivers the close of a connection seconds after the process exited.
    let cases =
        [(Some(S), vec![]), (Some(3 * S), vec![Invariant::OutOfOrder]), (None, vec![Invariant::OutOfOrder])];
    for ((closed_at, expected), delay) in
        cases.into_iter().flat_map(|case| [50_000, 2_000_000].map(|n| (case.clone(), n)))
    {
        let mut run = TestRun::default();
        run.accepted("k1", TripRecord, Some(7)).accepted("k2", TripRecord, Some(7));
        let first = run.begin_call(&["k1"]);
        run.at(S).notified("k1", true);
        let second = run.at(2 * S).begin_call(&["k2"]);
        let exit = 3 * S + 500_000;
        run.at(exit).observe(Observation::ShutdownRequested { sender: 0, killed: true });
        run.observe(Observation::Exited { sender: 0, expected: true }).at(exit + delay);
        if let Some(closed_at) = closed_at {
            run.observe(Observation::CallClosed { call: first, closed_at });
        }
        run.at(6 * S).observe(Observation::Ready { sender: 0 }).closed(second).notified("k2", true);
        assert_eq!(run.violations(), expected, "closed at {closed_at:?}, observed {delay} us after the exit");
    }
}

/// Guards against a wrong count of the messages that were untried at a restart, and of those that ended
/// without a call.
#[test]
fn counts_messages_that_are_untried_at_a_restart() {
    let mut run = TestRun::default();
    for id in ["tried", "returned", "in-flight", "delivered"] {
        run.accepted(id, TripRecord, None);
    }
    run.begin_call(&["in-flight"]);
    let call = run.begin_call(&["delivered"]);
    run.replied(call, "delivered", Delivered);
    run.at(S).observe(Observation::ShutdownRequested { sender: 0, killed: true });
    run.observe(Observation::Exited { sender: 0, expected: true })
        .at(2 * S)
        .observe(Observation::Ready { sender: 0 });
    let call = run.begin_call(&["tried"]);
    run.replied(call, "tried", Overloaded).notified("tried", true);
    run.at(3 * S).notified("returned", true).notified("in-flight", true);
    let verdict = std::mem::take(&mut run.checker).verdict(100 * S);
    assert_eq!((verdict.left_untried, verdict.ended_untried), (2, 1));
}

/// Guards against a call of any message before the time of a Retry-After.
#[test]
fn reports_a_call_before_the_time_of_a_retry_after() {
    for (at, expected) in [(S + 90_000, vec![]), (2 * S, vec![Invariant::RetryAfterIgnored]), (3 * S, vec![])]
    {
        let mut run = TestRun::default();
        run.accepted("a", Charge, None).accepted("b", Charge, None);
        let call = run.begin_call(&["a"]);
        run.at(S).replied_with_wait(call, "a", Overloaded, Some(3 * S));
        let call = run.at(at).begin_call(&["b"]);
        run.replied(call, "b", Delivered).notified("a", true);
        assert_eq!(run.violations(), expected, "at {at}");
    }
}

/// Guards against a violation reported for a Retry-After that the sender never received, as it had abandoned
/// the call. The Retry-After of another call still applies.
#[test]
fn ignores_a_retry_after_that_the_sender_did_not_receive() {
    for (lost, expected) in
        [(0, vec![Invariant::RetryAfterIgnored]), (1, vec![Invariant::RetryAfterIgnored]), (2, vec![])]
    {
        let mut run = TestRun::default();
        run.accepted("a", Charge, None).accepted("b", Charge, None).accepted("c", Charge, None);
        let (one, two) = (run.begin_call(&["a"]), run.begin_call(&["c"]));
        run.at(S).replied_with_wait(one, "a", Overloaded, Some(3 * S)).replied_with_wait(
            two,
            "c",
            Overloaded,
            Some(3 * S),
        );
        for call in [one, two].into_iter().take(lost) {
            run.observe(Observation::AnswerLost { call });
        }
        let call = run.at(2 * S).begin_call(&["b"]);
        run.replied(call, "b", Delivered).notified("a", true).notified("c", true);
        assert_eq!(run.violations(), expected, "{lost} answers lost");
    }
}

/// Guards against a sender's process that exits without a request.
#[test]
fn reports_an_unrequested_exit_as_a_crash() {
    let mut run = TestRun::default();
    run.observe(Observation::Ready { sender: 0 })
        .at(S)
        .observe(Observation::Exited { sender: 0, expected: false });
    assert_eq!(run.violations(), [Invariant::Crash]);
}
