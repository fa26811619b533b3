//! A fault for each rule planted into the observations.
use super::*;
use crate::observation::{AttemptResult, SubmissionAnswer};
use crate::plan::{Class, MAX_ATTEMPTS};

const S: Micros = 1_000_000;

/// What was seen of one day; each planted fault adds to it.
#[derive(Default)]
struct Day {
    judge: InvariantChecker,
    now: Micros,
    next_call: u64,
}

impl Day {
    fn at(&mut self, at: Micros) -> &mut Self {
        assert!(at >= self.now, "observations come in order");
        self.now = at;
        self
    }

    fn see(&mut self, observation: Observation) -> &mut Self {
        self.judge.observe(self.now, &observation);
        self
    }

    fn taken(&mut self, id: &str, class: Class, vehicle: Option<u32>) -> &mut Self {
        let deadline = self.now + class.deadline().0;
        let id = id.to_owned();
        let operation = 0;
        self.see(Observation::Submitted { id: id.clone(), operation, sender: 0, class, vehicle, deadline });
        self.see(Observation::Answered { id, answer: SubmissionAnswer::Accepted })
    }

    fn began(&mut self, ids: &[&str]) -> u64 {
        self.began_at(ids, 0, self.now)
    }

    fn began_at(&mut self, ids: &[&str], sender: u32, sent_at: Micros) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        let ids = ids.iter().map(|id| (*id).to_owned()).collect();
        self.see(Observation::CallBegan { call, sender, endpoint: "e".to_owned(), route: 0, ids, sent_at });
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
        self.see(Observation::CallAnswered {
            call,
            ends: vec![(id.to_owned(), end)],
            retry_after,
            received_at,
            in_flight_until,
        })
    }

    fn closed(&mut self, call: u64) -> &mut Self {
        let closed_at = self.now;
        self.see(Observation::CallClosed { call, closed_at })
    }

    fn noticed(&mut self, id: &str, returned: bool) -> &mut Self {
        self.see(Observation::Notified { id: id.to_owned(), returned })
    }

    fn restart(&mut self, from: Micros, ready: Micros) -> &mut Self {
        self.at(from)
            .see(Observation::ShutdownRequested { sender: 0, killed: true })
            .see(Observation::Exited { sender: 0, expected: true });
        self.at(ready).see(Observation::Ready { sender: 0 })
    }

    fn broken(&mut self) -> Vec<Invariant> {
        let verdict = std::mem::take(&mut self.judge).verdict(self.now + 100 * S);
        verdict.counts.into_keys().collect()
    }
}

use AttemptResult::{Delivered, Failed, Overloaded};
use Class::{Charge, TripRecord};

/// Guards against a judge that convicts a sender which keeps all rules, also at their edges.
#[test]
fn a_faultless_day_breaks_nothing() {
    let mut day = Day::default();
    day.taken("a", Charge, None).taken("k1", TripRecord, Some(7)).taken("k2", TripRecord, Some(7));
    let (a, k1) = (day.began(&["a"]), day.began(&["k1"]));
    // Turned away it never ran: a charge may go again, after the wait.
    day.at(S).replied_with_wait(a, "a", Overloaded, Some(2 * S)).replied(k1, "k1", Failed);
    let (a, k1) = (day.at(2 * S).began(&["a"]), day.began(&["k1"]));
    day.at(3 * S).closed(k1).see(Observation::TookEffect { id: "a".to_owned() }).replied(a, "a", Delivered);
    // In the window, and with the first call closed.
    let k1 = day.at(4 * S).began(&["k1"]);
    day.at(5 * S).replied(k1, "k1", Delivered);
    let k2 = day.began(&["k2"]);
    day.replied(k2, "k2", Delivered);
    // Overdue only once the restart is over; the process that was told the wait has gone.
    day.taken("late", Charge, None);
    let call = day.began(&["late"]);
    day.replied_with_wait(call, "late", Overloaded, Some(60 * S));
    day.restart(20 * S, 23 * S);
    let call = day.began(&["late"]);
    day.at(24 * S).replied(call, "late", Failed).noticed("late", false);
    assert_eq!(day.broken(), []);
}

/// Guards against a message that has no end and is not missed.
#[test]
fn a_lost_message_is_missed() {
    let mut day = Day::default();
    day.taken("a", Charge, None).at(60 * S);
    assert_eq!(day.broken(), [Invariant::Lost]);
    // Nor where the day goes on long after it.
    day = Day::default();
    day.taken("a", Charge, None);
    for n in 1..20 {
        day.at(n * 10 * S).see(Observation::Ready { sender: 0 });
    }
    assert_eq!(day.broken(), [Invariant::Lost]);
    // Not where its machine was lost with it, or its client never heard that it was taken on.
    day = Day::default();
    day.taken("a", Charge, None).at(S).see(Observation::MachineLost { sender: 0 }).at(60 * S);
    assert_eq!(day.broken(), []);
}

/// Guards against a client's connection that ends without an answer, while its sender runs on.
#[test]
fn a_cut_connection_loses_its_message() {
    for (ended, broken) in [(None, vec![Invariant::Lost]), (Some(S + 1), vec![])] {
        let mut day = Day::default();
        let (id, class, deadline) = ("a".to_owned(), Charge, 16 * S);
        day.see(Observation::Submitted {
            id: id.clone(),
            operation: 0,
            sender: 0,
            class,
            vehicle: None,
            deadline,
        });
        day.at(S).see(Observation::Answered { id, answer: SubmissionAnswer::ConnectionClosed });
        if let Some(at) = ended {
            day.restart(at, at + S);
        }
        day.at(5 * S).see(Observation::Ready { sender: 1 });
        assert_eq!(day.broken(), broken);
    }
}

/// Guards against an end that comes too late.
#[test]
fn a_late_end_is_late() {
    for (at, broken) in [(16 * S + 340_000, vec![]), (16 * S + 360_000, vec![Invariant::Late])] {
        let mut day = Day::default();
        day.taken("a", Charge, None).at(at).noticed("a", false);
        assert_eq!(day.broken(), broken, "at {at}");
    }
}

/// Guards against messages that go out after their end, though refused, or out of nowhere.
#[test]
fn what_is_over_stays_over() {
    let mut day = Day::default();
    day.taken("a", TripRecord, None).at(S).noticed("a", true).at(2 * S).began(&["a"]);
    assert_eq!(day.broken(), [Invariant::SentAfterEnd]);
    let mut day = Day::default();
    day.began(&["nobody's"]);
    assert_eq!(day.broken(), [Invariant::SentAfterEnd]);
    let mut day = Day::default();
    let (id, answer) = ("a".to_owned(), SubmissionAnswer::Rejected);
    let (class, deadline) = (Charge, 16 * S);
    day.see(Observation::Submitted {
        id: id.clone(),
        operation: 0,
        sender: 0,
        class,
        vehicle: None,
        deadline,
    });
    day.see(Observation::Answered { id, answer }).at(S).began(&["a"]);
    assert_eq!(day.broken(), [Invariant::SentAfterEnd]);
}

/// Guards against second effects, and against sends and refusals that only might have led to one.
#[test]
fn a_second_effect_is_convicted_however_it_comes() {
    let mut day = Day::default();
    day.taken("a", Charge, None);
    let call = day.began(&["a"]);
    day.at(S).replied(call, "a", Failed).at(2 * S).began(&["a"]);
    day.noticed("a", false);
    assert_eq!(day.broken(), [Invariant::Duplicated], "a charge that may have run");
    let mut day = Day::default();
    day.taken("a", Charge, None);
    let call = day.began(&["a"]);
    day.at(S).closed(call).at(2 * S).noticed("a", true);
    assert_eq!(day.broken(), [Invariant::Duplicated], "a charge returned though it may have run");
    let mut day = Day::default();
    day.taken("a", TripRecord, None);
    let call = day.began(&["a"]);
    day.at(S).closed(call).at(5 * S + 100_000).began(&["a"]);
    day.noticed("a", false);
    assert_eq!(day.broken(), [Invariant::Duplicated], "a keyed message past its window");
    let mut day = Day::default();
    day.taken("a", TripRecord, None).see(Observation::TookEffect { id: "a".to_owned() });
    day.at(S).see(Observation::TookEffect { id: "a".to_owned() }).noticed("a", false);
    assert_eq!(day.broken(), [Invariant::Duplicated], "two effects");
    let mut day = Day::default();
    day.taken("a", Charge, None);
    day.began(&["a"]);
    day.restart(S, 2 * S).began(&["a"]);
    day.noticed("a", false);
    assert_eq!(day.broken(), [Invariant::Duplicated], "a charge that was out when its process was killed");
}

/// Guards against two copies out at once, seen in either order.
#[test]
fn two_copies_out_are_convicted() {
    let mut day = Day::default();
    day.taken("a", TripRecord, None);
    let first = day.began(&["a"]);
    let second = day.at(S).began(&["a"]);
    day.at(2 * S).closed(first).replied(second, "a", Delivered);
    assert_eq!(day.broken(), [Invariant::ConcurrentAttempts]);
    // Sent first, and there last: a link held it.
    let mut day = Day::default();
    day.taken("a", TripRecord, None);
    let second = day.at(S).began(&["a"]);
    let first = day.at(2 * S).began_at(&["a"], 0, 0);
    day.at(3 * S).closed(first).replied(second, "a", Delivered);
    assert_eq!(day.broken(), [Invariant::ConcurrentAttempts]);
}

/// Guards against more attempts than are allowed.
#[test]
fn attempts_are_counted() {
    for (attempts, broken) in [(MAX_ATTEMPTS, vec![]), (MAX_ATTEMPTS + 1, vec![Invariant::TooManyAttempts])] {
        let mut day = Day::default();
        day.taken("a", Charge, None);
        for n in 0..attempts {
            let call = day.at(u64::from(n) * S).began(&["a"]);
            day.replied(call, "a", Overloaded);
        }
        day.noticed("a", true);
        assert_eq!(day.broken(), broken);
    }
}

/// Guards against sends to endpoints that the sender knew drain or are gone.
#[test]
fn a_drained_endpoint_is_left_alone() {
    for (after, broken) in [(S, vec![]), (S + 100_000, vec![Invariant::SentToDraining])] {
        let mut day = Day::default();
        day.taken("a", Charge, None);
        day.see(Observation::Listed { sender: 0, endpoint: "e".to_owned(), serving: false });
        let call = day.at(after).began(&["a"]);
        day.replied(call, "a", Delivered);
        assert_eq!(day.broken(), broken);
    }
}

/// Guards against a returning partner that is pushed over by senders that saw its outage; and against
/// convicting those that did not.
#[test]
fn who_saw_the_outage_answers_for_the_fall() {
    for (knew, broken) in [(true, vec![Invariant::OverloadedInSlowStart]), (false, vec![])] {
        let mut day = Day::default();
        day.taken("a", TripRecord, None);
        if knew {
            day.see(Observation::Outage { route: 0, began: true });
        }
        let call = day.began(&["a"]);
        day.at(S).closed(call);
        if !knew {
            day.see(Observation::Outage { route: 0, began: true });
        }
        day.at(2 * S).see(Observation::Outage { route: 0, began: false });
        day.at(3 * S)
            .see(Observation::Overloaded {
                route: 0,
                senders: vec![0, 0, 1],
                budget: 2.0,
                endpoint: "e".to_owned(),
            })
            .noticed("a", true);
        assert_eq!(day.broken(), broken);
    }
}

/// Guards against a key whose messages overtake one another.
#[test]
fn a_key_keeps_its_order() {
    let mut day = Day::default();
    day.taken("k1", TripRecord, Some(7)).taken("k2", TripRecord, Some(7));
    let call = day.began(&["k2"]);
    day.replied(call, "k2", Delivered);
    let call = day.at(S).began(&["k1"]);
    day.replied(call, "k1", Delivered);
    assert_eq!(day.broken(), [Invariant::OutOfOrder]);
    // The first is over by its notice, with its call still out.
    let mut day = Day::default();
    day.taken("k1", TripRecord, Some(7)).taken("k2", TripRecord, Some(7));
    let first = day.began(&["k1"]);
    day.at(S).noticed("k1", false);
    let second = day.at(2 * S).began(&["k2"]);
    day.at(3 * S).closed(first).replied(second, "k2", Delivered);
    assert_eq!(day.broken(), [Invariant::OutOfOrder]);
}

/// Guards against taking a call for one that was out until its process ended, when the news of its own end, sent
/// before, was still on its way; and against one that nothing is heard of passing for ended.
#[test]
fn a_call_ends_when_its_end_was_sent_though_its_process_ended_since() {
    // A link that holds packets back lets the news through seconds after the process has ended.
    let cases =
        [(Some(S), vec![]), (Some(3 * S), vec![Invariant::OutOfOrder]), (None, vec![Invariant::OutOfOrder])];
    for ((end_sent, broken), news) in
        cases.into_iter().flat_map(|case| [50_000, 2_000_000].map(|n| (case.clone(), n)))
    {
        let mut day = Day::default();
        day.taken("k1", TripRecord, Some(7)).taken("k2", TripRecord, Some(7));
        let first = day.began(&["k1"]);
        day.at(S).noticed("k1", true);
        let second = day.at(2 * S).began(&["k2"]);
        let exit = 3 * S + 500_000;
        day.at(exit).see(Observation::ShutdownRequested { sender: 0, killed: true });
        day.see(Observation::Exited { sender: 0, expected: true }).at(exit + news);
        if let Some(closed_at) = end_sent {
            day.see(Observation::CallClosed { call: first, closed_at });
        }
        day.at(6 * S).see(Observation::Ready { sender: 0 }).closed(second).noticed("k2", true);
        assert_eq!(day.broken(), broken, "{end_sent:?}, heard {news} us after");
    }
}

/// Guards against a count of what a restart found untried that misses what was then given up, or takes what was tried for it.
#[test]
fn what_a_restart_finds_untried_is_counted() {
    let mut day = Day::default();
    for id in ["tried", "given-up", "out", "over"] {
        day.taken(id, TripRecord, None);
    }
    day.began(&["out"]);
    let over = day.began(&["over"]);
    day.replied(over, "over", Delivered);
    day.at(S).see(Observation::ShutdownRequested { sender: 0, killed: true });
    day.see(Observation::Exited { sender: 0, expected: true })
        .at(2 * S)
        .see(Observation::Ready { sender: 0 });
    let call = day.began(&["tried"]);
    day.replied(call, "tried", Overloaded).noticed("tried", true);
    day.at(3 * S).noticed("given-up", true).noticed("out", true);
    let verdict = std::mem::take(&mut day.judge).verdict(100 * S);
    assert_eq!((verdict.left_untried, verdict.ended_untried), (2, 1));
}

/// Guards against calls during a told wait, whatever the message.
#[test]
fn a_wait_binds_until_its_end() {
    for (at, broken) in [(S + 90_000, vec![]), (2 * S, vec![Invariant::RetryAfterIgnored]), (3 * S, vec![])] {
        let mut day = Day::default();
        day.taken("a", Charge, None).taken("b", Charge, None);
        let call = day.began(&["a"]);
        day.at(S).replied_with_wait(call, "a", Overloaded, Some(3 * S));
        let call = day.at(at).began(&["b"]);
        day.replied(call, "b", Delivered).noticed("a", true);
        assert_eq!(day.broken(), broken, "at {at}");
    }
}

/// Guards against convicting a sender of what it could not know: it had given the call up before the wait reached
/// it. Another call's wait binds all the same.
#[test]
fn a_wait_that_was_not_heard_binds_nobody() {
    for (unheard, broken) in
        [(0, vec![Invariant::RetryAfterIgnored]), (1, vec![Invariant::RetryAfterIgnored]), (2, vec![])]
    {
        let mut day = Day::default();
        day.taken("a", Charge, None).taken("b", Charge, None).taken("c", Charge, None);
        let (one, two) = (day.began(&["a"]), day.began(&["c"]));
        day.at(S).replied_with_wait(one, "a", Overloaded, Some(3 * S)).replied_with_wait(
            two,
            "c",
            Overloaded,
            Some(3 * S),
        );
        for call in [one, two].into_iter().take(unheard) {
            day.see(Observation::AnswerLost { call });
        }
        let call = day.at(2 * S).began(&["b"]);
        day.replied(call, "b", Delivered).noticed("a", true).noticed("c", true);
        assert_eq!(day.broken(), broken, "{unheard} unheard");
    }
}

/// Guards against a sender that ends by itself.
#[test]
fn an_unasked_end_is_a_crash() {
    let mut day = Day::default();
    day.see(Observation::Ready { sender: 0 }).at(S).see(Observation::Exited { sender: 0, expected: false });
    assert_eq!(day.broken(), [Invariant::Crash]);
}
