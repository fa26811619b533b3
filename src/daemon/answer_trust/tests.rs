use super::*;

fn answer(is_first_on_connection: bool, delay_ms: u64) -> ReceivedAnswer {
    let delay = Some(Duration::from_millis(delay_ms));
    ReceivedAnswer { is_first_on_connection, delay }
}

/// Guards against counting an answer that came before the last byte of its request, on any connection.
#[test]
fn an_answer_before_the_end_of_the_request_belongs_to_no_call() {
    for is_first_on_connection in [true, false] {
        let early = ReceivedAnswer { is_first_on_connection, delay: None };
        assert_eq!(AnswerTrust::default().attribute(&early, Instant::now()), Attribution::Unknown);
    }
}

/// Guards against reusing connections, or counting answers on used ones, after an answer that no call asked
/// for, whatever its status, and against doing so for ever.
#[test]
fn only_first_answers_count_after_an_unsolicited_one() {
    for status in [None, Some(200), Some(503)] {
        let (mut trust, now) = (AnswerTrust::default(), Instant::now());
        assert!(trust.permits_reuse(now));
        assert_eq!(trust.attribute(&answer(false, 100), now), Attribution::Certain);
        assert!(trust.record_unsolicited(status, now));
        assert!(!trust.record_unsolicited(status, now), "{status:?}: reported twice");
        let last = now + DISTRUST_PERIOD - Duration::from_millis(1);
        for at in [now, last] {
            assert!(!trust.permits_reuse(at));
            assert_eq!(trust.attribute(&answer(true, 100), at), Attribution::Certain);
            assert_eq!(trust.attribute(&answer(false, 100), at), Attribution::Unknown);
        }
        assert!(trust.permits_reuse(now + DISTRUST_PERIOD));
    }
}

/// Guards against giving up the reuse of connections because a server announces that it closes an idle one.
#[test]
fn a_request_timeout_on_an_idle_connection_changes_nothing() {
    let (mut trust, now) = (AnswerTrust::default(), Instant::now());
    assert!(!trust.record_unsolicited(Some(REQUEST_TIMEOUT), now) && trust.permits_reuse(now));
}

/// Guards against counting an answer that comes sooner than the endpoint can answer, and against doubting the
/// ordinary answers of a used connection, which come sooner than those on new ones.
#[test]
fn an_answer_much_faster_than_all_others_is_doubtful() {
    let (mut trust, now) = (AnswerTrust::default(), Instant::now());
    trust.record_attributed(&answer(true, 84));
    assert_eq!(trust.attribute(&answer(false, 10), now), Attribution::Doubtful);
    assert_eq!(trust.attribute(&answer(false, 27), now), Attribution::Certain);
    assert_eq!(trust.attribute(&answer(true, 1), now), Attribution::Certain);
    trust.record_attributed(&answer(false, 27));
    assert_eq!(trust.attribute(&answer(false, 13), now), Attribution::Doubtful);
    assert_eq!(trust.attribute(&answer(false, 14), now), Attribution::Certain);
}

/// Guards against a repeated answer that neither the wait for a quiet connection nor the doubt about fast
/// answers covers, and against waits where the doubt is enough.
#[test]
fn fast_endpoints_need_quiet_connections() {
    let mut trust = AnswerTrust::default();
    assert_eq!(trust.quiet_period(), REPETITION_TIME);
    trust.record_attributed(&answer(false, 100));
    assert_eq!(trust.quiet_period(), Duration::ZERO);
    trust.record_attributed(&answer(false, 10));
    assert_eq!(trust.quiet_period(), REPETITION_TIME - Duration::from_millis(5));
    trust.record_attributed(&answer(false, 9));
    assert_eq!(trust.quiet_period(), REPETITION_TIME);
    assert_eq!(trust.attribute(&answer(false, 0), Instant::now()), Attribution::Certain);
}

/// Guards against doubting ordinary answers once endpoints have become faster, and against never doubting
/// again after one fast answer.
#[test]
fn confirmed_fast_answers_are_learned_and_forgotten() {
    let (mut trust, now) = (AnswerTrust::default(), Instant::now());
    trust.record_attributed(&answer(false, 100));
    trust.record_attributed(&answer(false, 40));
    assert_eq!(trust.attribute(&answer(false, 30), now), Attribution::Certain);
    for _ in 0..ANSWERS_PER_GENERATION {
        trust.record_attributed(&answer(false, 100));
    }
    assert_eq!(trust.attribute(&answer(false, 30), now), Attribution::Certain);
    for _ in 0..ANSWERS_PER_GENERATION {
        trust.record_attributed(&answer(false, 100));
    }
    assert_eq!(trust.attribute(&answer(false, 30), now), Attribution::Doubtful);
}
