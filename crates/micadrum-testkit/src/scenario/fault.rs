//! The schema of `[[fault]]` tables.
use crate::units::{Percent, Span};
use serde::Deserialize;
use toml::Spanned;

/// The kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Endpoints accept calls and never respond.
    Hang,
    /// Endpoints respond only after `delay`.
    Late,
    /// Endpoints stop for `pause` every `every`.
    Stall,
    /// Endpoints reject all calls, with a Retry-After that names the end of the fault.
    Shut,
    /// Endpoints reject a share of the calls as over capacity.
    Full,
    /// Endpoints fail a share of the calls at once.
    Errors,
    /// Endpoints send a share of their responses corrupted.
    Spoil,
    /// Endpoints reset the connection of a share of the calls after processing them.
    Reset,
    /// The endpoints' machines fall silent; connections to them are never established.
    Vanish,
    /// The endpoints' processes end: connections are refused.
    Die,
    /// The destinations' limits fall to a share.
    LimitFalls,
    /// Endpoints drain, end, and are replaced by others.
    Drain,
    /// Endpoints change their address and keep their id.
    Move,
    /// Endpoints change their id and keep their address.
    Rename,
    /// Updates of the endpoint list arrive `delay` later.
    ListLag,
    /// Discovery does not respond.
    ListSilent,
    /// The senders' discovery agents move to another address and restart their versions; a new configuration
    /// names the address.
    MoveDiscovery,
    /// The endpoint list names endpoints that do not exist.
    DeadHosts,
    /// The platform acknowledges no notifications.
    Deaf,
    /// Senders are restarted, `batch` of them at once, one batch every `every`.
    Restart,
    /// Senders lose their machine and their state folder.
    MachineLost,
    /// Senders lose power for `for`, all at once, and come back spread over `back`.
    PowerLoss,
    /// Senders are killed at their `nth` write to the journal, counted from `at`.
    KillAtWrite,
    /// The senders' disk is full.
    DiskFull,
    /// Syncs of the senders' disk fail; the data that they covered is lost to later syncs too.
    SyncFails,
    /// Syncs of the senders' disk complete only when the fault ends.
    SyncHangs,
    /// Syncs of the senders' disk report success and write nothing.
    SyncLies,
    /// Links between zones take `delay` longer.
    LinkDelay,
    /// Links between zones hold back all data, and deliver it when the fault ends.
    LinkHold,
    /// Links between zones lose all data; connections over them are reset when the fault ends.
    LinkDrop,
    /// Senders are partitioned from other senders.
    Cut,
    /// Traffic between senders takes `delay` longer, and a random time of up to `jitter` more.
    Slow,
    /// A share of the datagrams between senders is lost; others are duplicated or reordered.
    Lose,
    /// Connections between senders break, one in the middle of a frame every `every`.
    Break,
    /// Senders are suspended, and resume with their former notion of the time.
    Pause,
    /// A share of the system calls of senders fails, as Linux documents.
    SystemCalls,
    /// The wall clocks of senders are stepped by `step`, and stay so.
    WallClock,
    /// Writes, syncs, truncations and renames in the state folders of senders fail.
    Folder,
}

impl FaultKind {
    /// Returns whether the fault affects the traffic between senders.
    pub fn affects_peers(self) -> bool {
        matches!(self, Self::Cut | Self::Slow | Self::Lose | Self::Break)
    }

    /// Returns whether system calls of senders are made to fail, or to say something else.
    pub fn affects_system_calls(self) -> bool {
        matches!(self, Self::SystemCalls | Self::WallClock | Self::Folder)
    }

    /// Returns whether a destination goes through a slow start after the fault.
    pub fn is_outage(self) -> bool {
        matches!(self, Self::Hang | Self::Shut | Self::Vanish | Self::Die | Self::Errors)
    }
}

/// The direction of a cut, seen from the affected senders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutDirection {
    /// Nothing passes.
    #[default]
    Both,
    /// What the affected senders send is lost.
    Out,
    /// What is sent to the affected senders is lost.
    In,
}

/// The content of a sender's state folder after a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FolderContent {
    /// Everything the sender wrote.
    #[default]
    Kept,
    /// Nothing.
    Lost,
    /// A copy from when the sender first was ready.
    Older,
    /// What was synced, and some of the rest, as after a power loss (in live runs, everything).
    Synced,
}

/// How a sender's process is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopMethod {
    /// By SIGTERM, followed 3.7 s later by SIGKILL if the process still runs.
    Term,
    /// By SIGKILL.
    Kill,
}

/// The point of a write to the journal at which the process is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WritePoint {
    /// Before any of it is written.
    Before,
    /// When a part of it is written.
    Torn,
    /// When all of it is written, and before anything that follows.
    After,
}

/// The system calls that [`FaultKind::SystemCalls`] is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SystemCall {
    /// `accept` fails.
    #[default]
    Accept,
    /// `connect` fails with an error of the machine or of the other side.
    Connect,
    /// `socket` fails.
    Socket,
    /// `bind` fails.
    Bind,
    /// Reads and writes on sockets transfer less than they could.
    ShortTransfer,
    /// Calls are interrupted by a signal.
    Interrupt,
    /// Writes to sockets are held up for up to 0.15 s.
    DelayedWrite,
}

/// The error with which [`FaultKind::Folder`] fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum FolderError {
    /// An input/output error.
    #[serde(rename = "EIO")]
    InputOutput,
    /// No space is left.
    #[serde(rename = "ENOSPC")]
    NoSpace,
}

/// One fault. `FaultKind::fields` in `fault_fields` lists the fields that each kind needs and allows.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When the fault begins, from the start of the run.
    pub at: Spanned<Span>,
    /// How long the fault lasts.
    #[serde(rename = "for")]
    pub duration: Option<Span>,
    /// Numbers of the affected destinations, from 0; all if neither this nor `share` is given.
    #[serde(rename = "partners")]
    pub destinations: Option<Vec<u32>>,
    /// Share of the destinations or senders that is affected, drawn from the seed.
    pub share: Option<Percent>,
    /// Restricts the fault to endpoints or senders in this zone.
    #[serde(rename = "building")]
    pub zone: Option<String>,
    /// Share of the calls that is affected, or of the limit that remains.
    #[serde(rename = "calls")]
    pub call_share: Option<Percent>,
    /// Numbers of the affected senders, from 0.
    pub senders: Option<Vec<u32>>,
    /// How a restart ends the process.
    #[serde(rename = "how")]
    pub stop_method: Option<StopMethod>,
    /// Number of senders that are restarted at once.
    pub batch: Option<u32>,
    /// Interval between two batches, pauses or breaks.
    #[serde(rename = "every")]
    pub interval: Option<Span>,
    /// Length of a pause.
    pub pause: Option<Span>,
    /// Added delay.
    pub delay: Option<Span>,
    /// Which write to the journal the fault hits, counted from 1.
    pub nth: Option<u64>,
    /// At which point of that write.
    #[serde(rename = "where")]
    pub write_point: Option<WritePoint>,
    /// How long a sender stays down before it is started again.
    #[serde(rename = "down")]
    pub downtime: Option<Span>,
    /// The direction of a cut.
    #[serde(rename = "ways")]
    pub direction: Option<CutDirection>,
    /// Numbers of the senders that a cut separates from; all others if not given.
    #[serde(rename = "between")]
    pub cut_peers: Option<Vec<u32>>,
    /// Whether a cut separates from the destinations too.
    #[serde(rename = "from_partners")]
    pub cuts_destinations: Option<bool>,
    /// Maximum of the random delay that is added to `delay`.
    pub jitter: Option<Span>,
    /// Period over which the senders that lost power come back.
    #[serde(rename = "back")]
    pub return_period: Option<Span>,
    /// The content of the state folder after a restart.
    pub folder: Option<FolderContent>,
    /// Share of the senders that lost power and never come back.
    #[serde(rename = "never")]
    pub lost_share: Option<Percent>,
    /// Maximum error of the senders' clocks afterwards, in either direction.
    #[serde(rename = "clock")]
    pub max_clock_error: Option<Span>,
    /// Whether the endpoints in the same zone lose power too, and go through a slow start.
    #[serde(rename = "with_partners")]
    pub includes_endpoints: Option<bool>,
    /// Which system calls fail.
    pub call: Option<SystemCall>,
    /// With which error changes of the state folder fail; either of them if not given.
    pub error: Option<FolderError>,
    /// Whether failing writes write a part first.
    pub torn: Option<bool>,
    /// By how much a wall clock is stepped.
    pub step: Option<Span>,
    /// Whether a wall clock is stepped back, and not forward.
    pub backward: Option<bool>,
}

impl Fault {
    /// Creates a fault with its kind and start alone.
    pub fn new(kind: FaultKind, at: Span) -> Self {
        Self {
            kind,
            at: Spanned::new(0..0, at),
            duration: None,
            destinations: None,
            share: None,
            zone: None,
            call_share: None,
            senders: None,
            stop_method: None,
            batch: None,
            interval: None,
            pause: None,
            delay: None,
            nth: None,
            write_point: None,
            downtime: None,
            direction: None,
            cut_peers: None,
            cuts_destinations: None,
            jitter: None,
            return_period: None,
            folder: None,
            lost_share: None,
            max_clock_error: None,
            includes_endpoints: None,
            call: None,
            error: None,
            torn: None,
            step: None,
            backward: None,
        }
    }

    /// Returns the kind as scenario files write it.
    pub fn name(&self) -> String {
        let mut name = String::new();
        for letter in format!("{:?}", self.kind).chars() {
            if letter.is_uppercase() && !name.is_empty() {
                name.push('-');
            }
            name.push(letter.to_ascii_lowercase());
        }
        name
    }
}
