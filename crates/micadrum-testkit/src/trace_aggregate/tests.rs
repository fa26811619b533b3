use super::*;

/// Guards against a sum that omits a sender or a second, and a mean that includes calls without a load
/// report.
#[test]
fn sums_up_the_traces_of_several_senders() {
    let mut aggregate = TraceAggregate::default();
    for sender in ["", "7.5 ", "n3: "] {
        for line in [
            "trace taken at=5000000 destination=3",
            "trace call at=5100000 destination=3 endpoint=s-1 messages=2 outcome=success elapsed_us=9 left=0.5 limit=40",
            "trace call at=6100000 destination=3 endpoint=s-1 messages=1 outcome=full elapsed_us=9 wait_us=100",
            "trace ended at=6200000 destination=3 how=returned class=charge attempts=1",
            "trace list at=6300000 revision=4 whole=false entries=0",
            "listening on 127.0.0.1:5000",
        ] {
            assert_eq!(aggregate.add(&format!("{sender}{line}")), Ok(()));
        }
    }
    let first = Row {
        accepted: 3,
        calls: 3,
        delivered: 6,
        reports: 3,
        remaining_share: 1.5,
        limit: 120.0,
        ..Row::default()
    };
    let second = Row { calls: 3, rejected_calls: 3, retry_after: 3, returned: 3, ..Row::default() };
    assert_eq!(aggregate.rows, BTreeMap::from([((3, 5), first), ((3, 6), second)]));
    assert_eq!(aggregate.lists, BTreeMap::from([(6, 3)]));
    let shown = aggregate.to_string();
    assert!(shown.contains("0.50") && shown.contains("40.0"), "{shown}");
}

/// Guards against a truncated or corrupted trace that is counted.
#[test]
fn rejects_a_trace_with_a_missing_or_invalid_field() {
    let mut aggregate = TraceAggregate::default();
    let missing = |field| Err(TraceError::MissingField { kind: "taken".into(), field });
    assert_eq!(aggregate.add("trace taken destination=3"), missing("at"));
    assert_eq!(aggregate.add("trace taken at=1"), missing("destination"));
    let invalid = aggregate.add("trace taken at=x destination=3");
    assert_eq!(invalid, Err(TraceError::InvalidNumber { field: "at", value: "x".into() }));
    assert_eq!(aggregate.to_string(), "no traces\n");
}
