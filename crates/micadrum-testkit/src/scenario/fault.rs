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
    /// Endpoints stop processing for `pause`, once every `every`.
    Stall,
    /// Endpoints reject all calls, with a `Retry-After` header that names the end of the fault.
    Shut,
    /// Endpoints reject a share of the calls as over capacity.
    Full,
    /// Endpoints send their rejections only after `delay`.
    LateRejections,
    /// Endpoints fail a share of the calls immediately.
    Errors,
    /// Endpoints corrupt a share of their responses.
    Spoil,
    /// Endpoints reset the connection of a share of the calls after processing them.
    Reset,
    /// Endpoints send a share of their responses a second time, up to `delay` later.
    RepeatAnswers,
    /// The senders' agents send a share of their responses a second time, up to `delay` later.
    RepeatAgentAnswers,
    /// The senders' agents answer each discovery request only after `delay`.
    SlowAgent,
    /// Clients send a share of their requests in two pieces, cut at any byte, up to `delay` apart.
    CutRequests,
    /// The endpoints' machines stop responding; connections to them are never established.
    Vanish,
    /// The endpoints' processes end; connections to them are refused.
    Die,
    /// The destinations' limits are reduced to the share `calls`.
    LimitFalls,
    /// Endpoints drain, shut down, and are replaced by new endpoints.
    Drain,
    /// Endpoints change their address and keep their id.
    Move,
    /// Endpoints change their id and keep their address.
    Rename,
    /// Updates of the endpoint list arrive `delay` later.
    ListLag,
    /// Discovery does not respond.
    ListSilent,
    /// The senders' discovery agents move to another address and restart their revision numbers; senders get
    /// the address with a new configuration.
    MoveDiscovery,
    /// The endpoint list names endpoints that do not exist.
    DeadHosts,
    /// The platform does not acknowledge notifications.
    Deaf,
    /// Senders are restarted, `batch` of them at once, one batch every `every`.
    Restart,
    /// Senders lose their machine and their state folder.
    MachineLost,
    /// Senders lose power simultaneously for `for`, and start again spread over the period `back`.
    PowerLoss,
    /// Senders are killed at their `nth` write to the journal, counted from `at`.
    KillAtWrite,
    /// The senders' disk is full.
    DiskFull,
    /// Syncs of the senders' disk fail; the data that they covered is lost to later syncs too.
    SyncFails,
    /// Syncs of the senders' disk complete only when the fault ends.
    SyncHangs,
    /// Syncs of the senders' disk report success but make nothing durable.
    SyncLies,
    /// Links between zones take `delay` longer.
    LinkDelay,
    /// Links between zones hold back all data, and deliver it when the fault ends.
    LinkHold,
    /// Links between zones lose all data; connections over them are reset when the fault ends.
    LinkDrop,
    /// Senders are partitioned from other senders, in the direction `ways`.
    Cut,
    /// Traffic between senders takes `delay` longer, and a random time of up to `jitter` more.
    Slow,
    /// A share of the datagrams between senders is lost; others are duplicated or reordered.
    Lose,
    /// Connections between senders break, one in the middle of a frame every `every`.
    Break,
    /// Senders are suspended; they notice the elapsed time only after they resume.
    Pause,
    /// A share of the senders' system calls of one kind fails or transfers less, in ways that Linux
    /// documents.
    SystemCalls,
    /// The wall clocks of senders are stepped by `step`, permanently.
    WallClock,
    /// Writes, syncs, truncations and renames in the state folders of senders fail.
    Folder,
}

impl FaultKind {
    /// Returns whether the fault affects the traffic between senders.
    pub fn affects_peers(self) -> bool {
        matches!(self, Self::Cut | Self::Slow | Self::Lose | Self::Break)
    }

    /// Returns whether the fault changes the results of system calls of senders.
    pub fn affects_system_calls(self) -> bool {
        matches!(self, Self::SystemCalls | Self::WallClock | Self::Folder)
    }

    /// Returns whether a destination goes through a slow start after the fault.
    pub fn is_outage(self) -> bool {
        matches!(self, Self::Hang | Self::Shut | Self::Vanish | Self::Die | Self::Errors)
    }
}

/// The direction in which a cut drops traffic, seen from the affected senders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutDirection {
    /// Drops what the affected senders send, and what is sent to them.
    #[default]
    Both,
    /// Drops what the affected senders send.
    Out,
    /// Drops what is sent to the affected senders.
    In,
}

/// The event after which a response is sent a second time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatTrigger {
    /// The response itself.
    #[default]
    Answer,
    /// The next request on the connection.
    NextRequest,
}

/// The content of a sender's state folder after a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FolderContent {
    /// Everything that the sender wrote.
    #[default]
    Kept,
    /// Nothing: the folder is empty.
    Lost,
    /// A copy from when the sender was ready for the first time.
    Older,
    /// All synced data and a random part of the rest, as after a power loss; in live runs, all data.
    Synced,
}

/// The signal that stops a sender's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopMethod {
    /// SIGTERM, and SIGKILL 3.7 s later if the process is still running.
    Term,
    /// SIGKILL.
    Kill,
}

/// The point of a write to the journal at which the process is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WritePoint {
    /// The process is killed before any byte is written.
    Before,
    /// The process is killed after a part of the bytes is written.
    Torn,
    /// The process is killed after all bytes are written, before it does anything else.
    After,
}

/// The system calls that a fault of kind [`FaultKind::SystemCalls`] affects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SystemCall {
    /// `accept` fails.
    #[default]
    Accept,
    /// `connect` fails with a local error or with one that the remote host causes.
    Connect,
    /// `socket` fails.
    Socket,
    /// `bind` fails.
    Bind,
    /// Reads and writes on sockets transfer less than they could.
    ShortTransfer,
    /// Calls fail with `EINTR`, as if interrupted by a signal.
    Interrupt,
    /// Writes to sockets are delayed by up to 0.15 s.
    DelayedWrite,
}

/// The error that changes of the state folder return during a fault of kind [`FaultKind::Folder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum FolderError {
    /// `EIO`, an input/output error.
    #[serde(rename = "EIO")]
    InputOutput,
    /// `ENOSPC`, no space left on the device.
    #[serde(rename = "ENOSPC")]
    NoSpace,
}

/// A `[[fault]]` table. `FaultKind::fields` lists the fields that are required and allowed for each kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When the fault begins, measured from the start of the run.
    pub at: Spanned<Span>,
    /// How long the fault lasts.
    #[serde(rename = "for")]
    pub duration: Option<Span>,
    /// Numbers of the affected destinations, from 0; all if neither this nor `share` is given.
    #[serde(rename = "partners")]
    pub destinations: Option<Vec<u32>>,
    /// Share of the destinations or senders that are affected, drawn from the seed.
    pub share: Option<Percent>,
    /// Restricts the fault to endpoints or senders in this zone.
    #[serde(rename = "building")]
    pub zone: Option<String>,
    /// Share of the calls that are affected, or share of the limit that remains.
    #[serde(rename = "calls")]
    pub call_share: Option<Percent>,
    /// Numbers of the affected senders, from 0.
    pub senders: Option<Vec<u32>>,
    /// How a restart stops the process.
    #[serde(rename = "how")]
    pub stop_method: Option<StopMethod>,
    /// Number of senders that are restarted at once.
    pub batch: Option<u32>,
    /// Time from the start of one batch, pause or break to the start of the next.
    #[serde(rename = "every")]
    pub interval: Option<Span>,
    /// Length of each pause of the fault.
    pub pause: Option<Span>,
    /// Delay that the fault adds.
    pub delay: Option<Span>,
    /// Number of the write to the journal at which the process is killed, from 1.
    pub nth: Option<u64>,
    /// The point of that write at which the process is killed.
    #[serde(rename = "where")]
    pub write_point: Option<WritePoint>,
    /// Time from the end of a sender's process to its next start.
    #[serde(rename = "down")]
    pub downtime: Option<Span>,
    /// The direction in which a cut drops traffic, seen from the affected senders.
    #[serde(rename = "ways")]
    pub direction: Option<CutDirection>,
    /// Numbers of the senders that the affected senders are cut off from; all others if not given.
    #[serde(rename = "between")]
    pub cut_peers: Option<Vec<u32>>,
    /// Whether a cut also separates the affected senders from the destinations.
    #[serde(rename = "from_partners")]
    pub cuts_destinations: Option<bool>,
    /// Maximum of the random delay that is added to `delay`.
    pub jitter: Option<Span>,
    /// Period over which the starts of the senders after a power loss are spread.
    #[serde(rename = "back")]
    pub return_period: Option<Span>,
    /// The content of the state folder after a restart.
    pub folder: Option<FolderContent>,
    /// Share of the senders that do not start again after a power loss.
    #[serde(rename = "never")]
    pub lost_share: Option<Percent>,
    /// Maximum error of the senders' wall clocks after a power loss, in either direction.
    #[serde(rename = "clock")]
    pub max_clock_error: Option<Span>,
    /// Whether a power loss also affects the endpoints in the zone, which then go through a slow start.
    #[serde(rename = "with_partners")]
    pub includes_endpoints: Option<bool>,
    /// The system calls that are affected.
    pub call: Option<SystemCall>,
    /// The error of failing changes to the state folder; either error may occur if not given.
    pub error: Option<FolderError>,
    /// Whether a failing write to the state folder writes a part of its data first.
    pub torn: Option<bool>,
    /// The event after which a response is sent a second time.
    #[serde(rename = "after")]
    pub repeat_trigger: Option<RepeatTrigger>,
    /// The size of the step of a wall clock.
    pub step: Option<Span>,
    /// Whether a wall clock is set back rather than forward.
    pub backward: Option<bool>,
}

impl Fault {
    /// Creates a fault with the given kind and start, and no other fields.
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
            repeat_trigger: None,
            step: None,
            backward: None,
        }
    }

    /// Returns the name of the kind in scenario files, in kebab case.
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
