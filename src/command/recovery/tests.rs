use super::*;

/// Guards against an answer of the admin endpoint that the command cannot parse.
#[test]
fn the_answer_of_the_admin_endpoint_is_shown() {
    let json = r#"{"stage":"finishing","for_us":5000,"waits_for":"what is owed from before",
        "trust":{"machine":"another","journal":"hint","clock":{"off":3600000000},
        "findings":[{"rebooted":{"outlasted":false}},{"clock":{"off":3600000000}}]},
        "asked":{"answered":2,"steady":1,"silent":3,"took":1000000,"late":true},
        "steps":[{"stage":"asking","took":1000000,"why":"done"}]}"#;
    let text = format(&serde_json::from_str(json).unwrap());
    for part in [
        "Finishing for 5 ms",
        "began anew",
        "a hint",
        "3600 s off",
        "2 answered, 1 of them",
        "Asking: 1000 ms",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
}
