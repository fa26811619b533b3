//! The shapes of all stored and transmitted postcard values. The order of fields and variants is that of the
//! bytes; their names are those in the fixtures.
use crate::postcard::Shape;
use crate::postcard::Shape::{
    Array, Bytes, Fields, Flag, Float, List, Number, Random, Text, TextMap, Variants, Varying, VaryingArray,
    VaryingBytes, VaryingFloat,
};

/// Returns the shape of a record of `messages.wal`.
pub fn journal_record() -> Shape {
    let completed_id = Fields(vec![("id", Text), ("until", Varying)]);
    Variants(vec![
        ("Taken", Fields(vec![("number", Number), ("owed", pending_message())])),
        ("Begun", Fields(vec![("number", Number), ("attempt", attempt())])),
        ("Outcome", Fields(vec![("number", Number), ("may_have_run", Flag)])),
        ("Ended", Fields(vec![("number", Number), ("end", final_outcome())])),
        ("Over", Number),
        ("OverSince", Fields(vec![("number", Number), ("at", Varying)])),
        ("OverIds", completed_id.list()),
        ("Stamped", journal_origin()),
        ("NotBefore", Fields(vec![("number", Number), ("at", Varying)])),
        ("Ran", Fields(vec![("number", Number), ("attempt", attempt())])),
        ("Deadline", Fields(vec![("number", Number), ("deadline", Varying)])),
        ("Withheld", Number),
        ("Anchored", Fields(vec![("boot", VaryingArray(16)), ("monotonic", Varying), ("engine", Varying)])),
    ])
}

fn pending_message() -> Shape {
    Fields(vec![
        ("id", Text),
        ("class", Text),
        ("tenant", Text.optional()),
        ("key", Text.optional()),
        ("idempotency_key", Text.optional()),
        ("destination", Number),
        ("body", Bytes),
        ("deadline", Varying),
        ("attempts", Number),
        ("ran", attempt().optional()),
        ("out", attempt().optional()),
        ("end", final_outcome().optional()),
    ])
}

fn attempt() -> Shape {
    Fields(vec![("at", Varying), ("zone", Text)])
}

fn final_outcome() -> Shape {
    Variants(vec![("Failed", Shape::unit()), ("Returned", Varying.optional())])
}

fn journal_origin() -> Shape {
    Fields(vec![
        ("sender", Text),
        ("boot", Array(16).optional()),
        ("wall", Varying),
        ("outlasts_machine", Flag),
    ])
}

/// Returns the shape of a record of `memory.log`.
pub fn checkpoint_record() -> Shape {
    Variants(vec![
        ("Head", Fields(vec![("form", Number), ("sender", Text)])),
        ("Known", checkpointed_endpoint()),
        ("Heard", list_version()),
        ("Whole", Flag),
    ])
}

fn list_version() -> Shape {
    Fields(vec![("agent", address()), ("revision", Number)])
}

fn address() -> Shape {
    let v4 = Fields(vec![("octets", Array(4)), ("port", Varying)]);
    Variants(vec![("V4", v4)])
}

fn checkpointed_endpoint() -> Shape {
    Fields(vec![
        ("member", member()),
        ("heard", Varying),
        ("learned", Fields(vec![("own", route().optional()), ("shared", route().optional())])),
        ("written", Varying),
    ])
}

fn member() -> Shape {
    let phase = vec![("Serving", Shape::unit()), ("Draining", Shape::unit()), ("Deleted", Shape::unit())];
    Fields(vec![
        ("id", Text),
        ("host_port", address()),
        ("locality", Text),
        ("flavor", Text),
        ("cell", Number),
        ("phase", Variants(phase)),
        ("size", Float),
        ("up_since_ms", Number),
    ])
}

fn route() -> Shape {
    let health = vec![("Up", Shape::unit()), ("Down", Varying), ("Returning", Varying)];
    let pacer = Fields(vec![
        ("at", Varying),
        ("health", Variants(health)),
        ("failing", VaryingFloat),
        ("rate", VaryingFloat),
        ("pace", VaryingFloat),
        ("tokens", VaryingFloat),
    ]);
    Fields(vec![
        ("destination", Number),
        ("endpoint", Number.optional()),
        ("told_until", Varying),
        ("hold_until", Varying),
        ("flow", pacer),
        ("streak", Number),
        ("doubted", Varying.optional()),
        ("fails", VaryingFloat.optional()),
        ("fulls", Number),
        ("latency", VaryingFloat),
        ("deviation", VaryingFloat),
        ("last_answer", Varying),
        ("last_success", Varying),
        ("last_refusal", Varying),
        ("limit", VaryingFloat),
        ("lines", Number),
        ("left", VaryingFloat),
        ("gate", Flag),
    ])
}

/// Returns the shape of the payload of a handover.
pub fn handover_payload() -> Shape {
    Fields(vec![
        ("version", list_version().optional()),
        ("whole", Flag),
        ("endpoints", TextMap(Box::new(checkpointed_endpoint()))),
        ("classes", List(Box::new(Fields(vec![("name", Text), ("class", class())])))),
    ])
}

fn class() -> Shape {
    let scope = Variants(vec![("All", Shape::unit()), ("Zone", Shape::unit())]);
    let with_key = Fields(vec![("group", scope), ("window", Number)]);
    let idempotency = vec![("Safe", Shape::unit()), ("Keyed", with_key), ("Unsafe", Shape::unit())];
    Fields(vec![
        ("aim", Number),
        ("deadline", Number),
        ("worth", Float),
        ("late_worth", Float),
        ("repeat", Variants(idempotency)),
        ("ordered", Flag),
    ])
}

/// Returns the shape of the file `lives` between its magic and its checksum.
pub fn incarnations() -> Shape {
    let observed = Fields(vec![("of", Array(8)), ("heard", observed_incarnation())]);
    Fields(vec![("owner", Array(8).optional()), ("own", Number), ("heard", observed.list())])
}

fn observed_incarnation() -> Shape {
    Fields(vec![("number", Number), ("run", Random), ("stamp", VaryingArray(16))])
}

/// Returns the shape of the body of a datagram between members.
pub fn datagram_body() -> Shape {
    let word = Variants(vec![("Silent", Shape::unit()), ("Back", Shape::unit())]);
    let rumour = Fields(vec![("about", Array(8)), ("life", Number), ("word", word)]);
    Variants(vec![
        (
            "Ping",
            Fields(vec![
                ("nonce", Random),
                ("stamp", VaryingArray(16)),
                ("list", Random),
                ("rumours", rumour.clone().list()),
            ]),
        ),
        (
            "Ack",
            Fields(vec![
                ("nonce", Random),
                ("stamp", VaryingArray(16)),
                ("known", observed_incarnation().optional()),
                ("rumours", rumour.list()),
            ]),
        ),
        ("Relay", Fields(vec![("to", Array(8)), ("sealed", VaryingBytes)])),
        ("Passed", Fields(vec![("sealed", VaryingBytes)])),
        ("Leave", Shape::unit()),
    ])
}
