use super::*;

/// Guards against a sum that leaves a sender or a second out, and against a mean over calls that told nothing.
#[test]
fn what_several_senders_did_is_added_up() {
    let mut count = TraceAggregate::default();
    for sender in ["", "7.5 ", "n3: "] {
        for line in [
            "trace taken at=5000000 destination=3",
            "trace call at=5100000 destination=3 endpoint=s-1 messages=2 outcome=success elapsed_us=9 left=0.5 limit=40",
            "trace call at=6100000 destination=3 endpoint=s-1 messages=1 outcome=full elapsed_us=9 wait_us=100",
            "trace ended at=6200000 destination=3 how=returned class=charge attempts=1",
            "trace list at=6300000 revision=4 whole=false entries=0",
            "listening on 127.0.0.1:5000",
        ] {
            assert_eq!(count.add(&format!("{sender}{line}")), Ok(()));
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
    assert_eq!(count.rows, BTreeMap::from([((3, 5), first), ((3, 6), second)]));
    assert_eq!(count.lists, BTreeMap::from([(6, 3)]));
    let shown = count.to_string();
    assert!(shown.contains("0.50") && shown.contains("40.0"), "{shown}");
}

/// Guards against a trace that is cut off or spoilt and counts as something else.
#[test]
fn a_spoilt_trace_names_what_is_wrong() {
    let mut count = TraceAggregate::default();
    let lacks = |field| Err(TraceError::Lacks { kind: "taken".into(), field });
    assert_eq!(count.add("trace taken destination=3"), lacks("at"));
    assert_eq!(count.add("trace taken at=1"), lacks("destination"));
    let wrong = count.add("trace taken at=x destination=3");
    assert_eq!(wrong, Err(TraceError::NoNumber { field: "at", value: "x".into() }));
    assert_eq!(count.to_string(), "no traces\n");
}
