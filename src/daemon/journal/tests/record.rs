//! Tests of the encoding of the records, which files of earlier versions contain.
use super::attempt;
use crate::daemon::clock::ClockAnchor;
use crate::daemon::frame::append_frame;
use crate::daemon::journal::record::{CompletedId, Record};
use crate::daemon::journal::{FinalOutcome, PendingMessage, SubmittedMessage};
use micadrum_recovery::{BootId, JournalStamp};

fn pending_message() -> PendingMessage {
    let message = SubmittedMessage {
        id: "m1".to_owned(),
        class: "charge".to_owned(),
        tenant: Some("t".to_owned()),
        key: None,
        idempotency_key: Some("k".to_owned()),
        destination: 300,
        body: b"xyz"[..].into(),
    };
    PendingMessage {
        attempts_started: 2,
        first_uncertain_attempt: Some(attempt(1_000)),
        final_outcome: Some(FinalOutcome::Returned(Some(5))),
        ..PendingMessage::new(message, 77)
    }
}

fn completed_id(id: &str, expires_at: u64) -> CompletedId {
    CompletedId { id: id.into(), expires_at }
}

/// Guards against a change of the encoding, which would make files of earlier versions unreadable.
#[test]
fn records_encode_to_the_same_bytes_as_in_earlier_versions() {
    let cases = [
        (
            Record::Accepted { number: 1, pending: Box::new(pending_message()) },
            "250000007310cb9f0001026d31066368617267650101740001016bac020378797a4d0201e80701610001010105",
        ),
        (Record::AttemptStarted { number: 2, attempt: attempt(1_000) }, "060000002987226a0102e8070161"),
        (Record::AttemptEnded { number: 3, uncertain: true }, "03000000d8722af3020301"),
        (Record::Finished { number: 4, outcome: FinalOutcome::Failed }, "03000000bebeaeca030400"),
        (Record::CompletedAtUnknownTime { number: 5 }, "0200000023310ce80405"),
        (Record::Completed { number: 6, completed_at: 600 }, "040000001dd6b79c0506d804"),
        (
            Record::CompletedIds(vec![completed_id("a", 7), completed_id("b", 8)]),
            "08000000fef622860602016107016208",
        ),
        (
            Record::Stamped(JournalStamp {
                sender: "n1".to_owned(),
                boot: None,
                wall: 9,
                survives_machine_crash: true,
            }),
            "07000000dde6830207026e31000901",
        ),
        (Record::AcceptedNotBefore { first_number: 10, not_before: 1_000 }, "04000000ed908821080ae807"),
        (Record::UncertainAttempt { number: 11, attempt: attempt(1_000) }, "060000003567618b090be8070161"),
        (Record::DeadlineChanged { number: 12, deadline: 1_200 }, "040000008fded61a0a0cb009"),
        (Record::AttemptDeferred { number: 13 }, "02000000dea54f610b0d"),
        (
            Record::ClockAnchored(ClockAnchor { boot: BootId([3; 16]), monotonic_us: 5, engine_us: 1_000 }),
            "140000000d26e6db0c0303030303030303030303030303030305e807",
        ),
    ];
    for (record, expected) in cases {
        let frame = append_frame(&record, Vec::new()).unwrap();
        let hex: String = frame.iter().map(|byte| format!("{byte:02x}")).collect();
        assert_eq!(hex, expected);
    }
}
