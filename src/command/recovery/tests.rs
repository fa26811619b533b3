use super::*;

/// Guards against a response of the admin endpoint that the command cannot parse or shows incompletely.
#[test]
fn formats_the_response_of_the_admin_endpoint() {
    let json = r#"{"stage":"finishing","for_us":5000,"waits_for":"the pending messages",
        "trust":{"machine":"another","journal":"hint","clock":{"off":3600000000},
        "findings":[{"rebooted":{"outlasted":false}},{"clock":{"off":3600000000}}]},
        "asked":{"answered":2,"steady":1,"silent":3,"took":1000000,"late":true},
        "steps":[{"stage":"asking","took":1000000,"why":"done"}]}"#;
    let text = format_report(&serde_json::from_str(json).unwrap());
    for part in [
        "Finishing for 5 ms",
        "machine  rebooted",
        "journal  incomplete",
        "clock    3600 s off the clocks of other senders",
        "2 answered, 1 of them",
        "Asking: 1000 ms",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
}
