//! Which field and variant stands where in each form that outlasts a process or crosses to another. The names are this
//! net's own; the positions are those of the bytes.
use crate::postcard::Shape;
use crate::postcard::Shape::{
    Array, Bytes, Fields, Flag, Float, List, Number, Random, Text, TextMap, Variants, Varying, VaryingArray,
    VaryingBytes, VaryingFloat,
};

/// A record of `messages.wal`.
pub fn journal_record() -> Shape {
    let over_id = Fields(vec![("id", Text), ("until", Varying)]);
    Variants(vec![
        ("Taken", Fields(vec![("number", Number), ("owed", owed())])),
        ("Begun", Fields(vec![("number", Number), ("attempt", attempt())])),
        ("Outcome", Fields(vec![("number", Number), ("may_have_run", Flag)])),
        ("Ended", Fields(vec![("number", Number), ("end", end())])),
        ("Over", Number),
        ("OverSince", Fields(vec![("number", Number), ("at", Varying)])),
        ("OverIds", over_id.list()),
        ("Stamped", journal_stamp()),
        ("NotBefore", Fields(vec![("number", Number), ("at", Varying)])),
        ("Ran", Fields(vec![("number", Number), ("attempt", attempt())])),
        ("Deadline", Fields(vec![("number", Number), ("deadline", Varying)])),
        ("Withheld", Number),
        ("Anchored", Fields(vec![("boot", VaryingArray(16)), ("monotonic", Varying), ("engine", Varying)])),
    ])
}

fn owed() -> Shape {
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
        ("end", end().optional()),
    ])
}

fn attempt() -> Shape {
    Fields(vec![("at", Varying), ("zone", Text)])
}

fn end() -> Shape {
    Variants(vec![("Failed", Shape::unit()), ("Returned", Varying.optional())])
}

fn journal_stamp() -> Shape {
    Fields(vec![
        ("sender", Text),
        ("boot", Array(16).optional()),
        ("wall", Varying),
        ("outlasts_machine", Flag),
    ])
}

/// A record of `memory.log`.
pub fn memory_record() -> Shape {
    Variants(vec![
        ("Head", Fields(vec![("form", Number), ("sender", Text)])),
        ("Known", known_endpoint()),
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

fn known_endpoint() -> Shape {
    Fields(vec![
        ("member", member()),
        ("heard", Varying),
        ("learned", Fields(vec![("own", line().optional()), ("shared", line().optional())])),
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

fn line() -> Shape {
    let health = vec![("Up", Shape::unit()), ("Down", Varying), ("Returning", Varying)];
    let flow = Fields(vec![
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
        ("flow", flow),
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

/// What a process gives to the next over `handover.sock`.
pub fn handover_payload() -> Shape {
    Fields(vec![
        ("version", list_version().optional()),
        ("whole", Flag),
        ("endpoints", TextMap(Box::new(known_endpoint()))),
        ("classes", List(Box::new(Fields(vec![("name", Text), ("class", class())])))),
    ])
}

fn class() -> Shape {
    let group = Variants(vec![("All", Shape::unit()), ("Zone", Shape::unit())]);
    let keyed = Fields(vec![("group", group), ("window", Number)]);
    let repeat = vec![("Safe", Shape::unit()), ("Keyed", keyed), ("Unsafe", Shape::unit())];
    Fields(vec![
        ("aim", Number),
        ("deadline", Number),
        ("worth", Float),
        ("late_worth", Float),
        ("repeat", Variants(repeat)),
        ("ordered", Flag),
    ])
}

/// What stands in `lives` between its magic and its checksum.
pub fn lives() -> Shape {
    let heard = Fields(vec![("of", Array(8)), ("heard", heard_life())]);
    Fields(vec![("owner", Array(8).optional()), ("own", Number), ("heard", heard.list())])
}

fn heard_life() -> Shape {
    Fields(vec![("number", Number), ("run", Random), ("stamp", VaryingArray(16))])
}

/// The body of a datagram between members.
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
                ("known", heard_life().optional()),
                ("rumours", rumour.list()),
            ]),
        ),
        ("Relay", Fields(vec![("to", Array(8)), ("sealed", VaryingBytes)])),
        ("Passed", Fields(vec![("sealed", VaryingBytes)])),
        ("Leave", Shape::unit()),
    ])
}
