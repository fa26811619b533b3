//! What partners, platform, clients and the machines saw: the only things that the judge goes by.
use crate::plan::Class;

/// When, in microseconds from the start of the day.
pub type At = u64;

/// How a call ended for one of its messages, as the endpoint told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageEnd {
    /// Delivered.
    Ok,
    /// An error: it may have run.
    Error,
    /// Turned away: it never ran.
    Full,
    /// The answer was spoilt or the connection broken by the endpoint: it may have run.
    Spoilt,
}

/// What a client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// 202 or 200.
    TakenOn,
    /// 429 or 503, or no connection.
    Refused,
    /// Any other status.
    Failed,
    /// Nothing within the client's patience.
    Nothing,
    /// The connection ended, or was refused, before an answer came.
    Cut,
}

/// One thing that somebody saw.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A sender answered that it is ready.
    Ready {
        /// Which.
        sender: u32,
    },
    /// A sender was told to end: SIGTERM, or SIGKILL where `killed`.
    Ending {
        /// Which.
        sender: u32,
        /// Whether at once.
        killed: bool,
    },
    /// A sender's process ended; `asked` if it had been told to.
    Exited {
        /// Which.
        sender: u32,
        /// Whether it had been told to, and ended in good order or was killed.
        asked: bool,
    },
    /// A sender's machine was lost with all that it held.
    MachineLost {
        /// Which.
        sender: u32,
    },
    /// A client handed a message in.
    HandedIn {
        /// Its id.
        id: String,
        /// The operation that it stands for.
        operation: u64,
        /// To whom.
        sender: u32,
        /// Its class.
        class: Class,
        /// The vehicle, where order is kept.
        vehicle: Option<u32>,
        /// Until when it may be delivered.
        deadline: At,
    },
    /// The client heard, or gave up hearing.
    Answered {
        /// The message.
        id: String,
        /// What.
        told: Told,
    },
    /// Discovery wrote to a sender what an endpoint's state is.
    Listed {
        /// To whom.
        sender: u32,
        /// The endpoint's id in the list.
        endpoint: String,
        /// Whether it is in service.
        serving: bool,
    },
    /// The last byte of a call came.
    Began {
        /// The call.
        call: u64,
        /// Who made it.
        sender: u32,
        /// The endpoint's id in the list.
        endpoint: String,
        /// The destination, or the route where routes are apart: what limits, waits and outages are of.
        line: u32,
        /// Its messages.
        ids: Vec<String>,
        /// When the sender sent its first byte.
        sent: At,
    },
    /// A message took effect; a repeat that a partner dropped did not.
    Ran {
        /// The message.
        id: String,
    },
    /// The answer was written, or would have been had it not been spoilt or broken off.
    Replied {
        /// The call.
        call: u64,
        /// What became of each message.
        ends: Vec<(String, MessageEnd)>,
        /// A wait that it told, and until when it binds.
        wait: Option<At>,
        /// When the sender has it.
        heard: At,
        /// Until when the call was out: the answer, or the sender's end of the connection, still on its way then.
        out_until: At,
    },
    /// The sender had ended the connection of a call before the answer reached it: it cannot know what that told.
    Unheard {
        /// The call.
        call: u64,
    },
    /// The sender ended the connection of a call that had no answer.
    Closed {
        /// The call.
        call: u64,
        /// When the sender did.
        sent: At,
    },
    /// The platform acknowledged a notice.
    Noticed {
        /// The message.
        id: String,
        /// `returned`, not `failed`.
        returned: bool,
    },
    /// A sender stands still until then: it is told nothing and says nothing.
    Paused {
        /// Which.
        sender: u32,
        /// Until when.
        until: At,
    },
    /// The platform acknowledges no notices from a sender until then.
    Deaf {
        /// Which.
        sender: u32,
        /// Until when.
        until: At,
    },
    /// An outage of a line began or ended.
    Outage {
        /// Which.
        line: u32,
        /// Whether it began.
        began: bool,
    },
    /// A cold line was pushed over, by calls of these senders, one entry a call.
    Fell {
        /// Which.
        line: u32,
        /// Whose calls.
        senders: Vec<u32>,
        /// Calls that it would have borne in that time.
        budget: f64,
        /// Where the call went at which it fell.
        endpoint: String,
    },
}
