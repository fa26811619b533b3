//! Scenario files: what a rehearsal plays, checked in full before anything starts.
use crate::link_faults;
use crate::units::{Percent, Rate, Span};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use toml::Spanned;

/// Longest day that a scenario may ask for.
pub const MOST_LENGTH: Span = Span::seconds(7 * 24 * 3600);
/// Most senders and partners.
pub const MOST_PARTIES: u32 = 400;

/// One rehearsal, as its file tells it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it shows, for people.
    pub title: String,
    /// How long clients hand in messages.
    pub length: Spanned<Span>,
    /// Senders that share the traffic.
    pub senders: Spanned<u32>,
    /// Partners: destinations, each with one to four endpoints.
    #[serde(default = "default_partners")]
    pub partners: Spanned<u32>,
    /// Messages a second, over all senders.
    pub traffic: Rate,
    /// Share of what the partners can do that the traffic takes.
    #[serde(default = "default_load")]
    pub load: Spanned<Percent>,
    /// Share of the messages that come in clumps for one partner.
    #[serde(default)]
    pub clumps: Percent,
    /// Distinct vehicles, whose trip records keep their order.
    #[serde(default = "default_vehicles")]
    pub vehicles: u32,
    /// The buildings.
    #[serde(default = "default_buildings")]
    pub buildings: Spanned<Vec<String>>,
    /// One way between two buildings.
    #[serde(default = "default_crossing")]
    pub crossing: Span,
    /// The folder that lasts, for each sender.
    #[serde(default = "default_disk")]
    pub disk_mb: f64,
    /// How the list comes.
    #[serde(default)]
    pub discovery: Discovery,
    /// Calls a second that discovery bears where the list comes on request; without it, any number.
    pub discovery_bears: Option<Rate>,
    /// How late the list reaches the senders, at the most.
    #[serde(default = "default_list_delay")]
    pub list_delay: Span,
    /// How long the front goes on dealing out connections to a sender that has died.
    #[serde(default = "default_front_notice")]
    pub front_notice: Span,
    /// The operator's file of every sender, without its members, names and keys: the kit fills them in.
    pub operator: Option<Spanned<toml::Table>>,
    /// How long it is watched after its end; without it, for as long as the longest message may take.
    pub tail: Option<Span>,
    /// Hours of more traffic.
    #[serde(default)]
    pub peak: Vec<Peak>,
    /// Moments at which a sender is asked what all of them see, by number from 0 (live only).
    #[serde(default)]
    pub look: Vec<AdminSnapshotPlan>,
    /// What goes wrong.
    #[serde(default)]
    pub fault: Vec<Spanned<Fault>>,
}

/// How the list reaches the senders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Discovery {
    /// To the agent on each sender's machine, by itself.
    #[default]
    Pushed,
    /// Only to those who ask, by calls that cost discovery.
    OnRequest,
}

/// A stretch with more (or less) traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peak {
    /// From when.
    pub at: Spanned<Span>,
    /// For how long.
    #[serde(rename = "for")]
    pub lasts: Span,
    /// How many times the usual traffic.
    pub times: f64,
}

/// A look at what senders see of each other.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSnapshotPlan {
    /// When.
    pub at: Spanned<Span>,
    /// Whose door is asked.
    pub sender: u32,
}

/// The kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Partners take calls and answer none.
    Hang,
    /// Partners take calls and answer them only after `delay`.
    Late,
    /// Partners stand still for `pause` every `every`.
    Stall,
    /// Partners refuse all and tell when they open.
    Shut,
    /// Partners answer 'full' to a share of the calls.
    Full,
    /// Partners fail a share of the calls quickly.
    Errors,
    /// Partners spoil a share of their answers.
    Spoil,
    /// Partners break the connection of a share of the calls after they ran.
    Reset,
    /// Machines of partners say nothing any more; connections to them never come up.
    Vanish,
    /// Processes of partners die: connections are refused.
    Die,
    /// A share of the partners' limits stays.
    LimitFalls,
    /// Endpoints drain, end, and are replaced by others.
    Drain,
    /// Endpoints move to another address under their id.
    Move,
    /// Endpoints change their id at one address.
    Rename,
    /// The list comes `delay` later.
    ListLag,
    /// Discovery says nothing.
    ListSilent,
    /// The agents of senders move and count anew; a new configuration says where.
    MoveDiscovery,
    /// The list names endpoints that do not exist.
    DeadHosts,
    /// The platform acknowledges no notices.
    Deaf,
    /// Senders are restarted, `batch` of them at once, one batch every `every`.
    Restart,
    /// Senders lose their machine, with the folder that lasts.
    MachineLost,
    /// Senders lose power for `for`, all at once, and come back spread over `back`.
    PowerLoss,
    /// Senders are killed at their `nth` write to the journal, counted from `at`.
    KillAtWrite,
    /// The senders' disk takes nothing more.
    DiskFull,
    /// The senders' disk fails syncs; what they were of is lost to later ones too.
    SyncFails,
    /// Syncs of the senders' disk end only with the fault.
    SyncHangs,
    /// The senders' disk says of syncs that they are done, and does none.
    SyncLies,
    /// Links between buildings take `delay` longer.
    LinkDelay,
    /// Links between buildings hold what is sent until the end, and deliver it then.
    LinkHold,
    /// Links between buildings lose what is sent; connections over them are reset at the end.
    LinkDrop,
    /// Senders and the rest no longer hear each other.
    Cut,
    /// What senders say to each other takes `delay` longer, and up to `jitter` more.
    Slow,
    /// A share of what senders say to each other is lost; some of it comes twice or out of turn.
    Lose,
    /// Links between senders break, one in the middle of a frame every `every`.
    Break,
    /// Senders stand still, and go on believing the time before.
    Pause,
}

/// Which way a cut holds, seen from those that it strikes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ways {
    /// Neither is heard.
    #[default]
    Both,
    /// The struck ones are not heard.
    Out,
    /// The struck ones do not hear.
    In,
}

/// What a sender finds in its folder when it starts again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FolderKept {
    /// What it left there.
    #[default]
    Kept,
    /// Nothing.
    Lost,
    /// A copy that was taken when it first was ready.
    Older,
    /// What was synced, and some of the rest: the machine lost power (sim; live: all).
    Synced,
}

/// How a sender's process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum How {
    /// SIGTERM, and SIGKILL 3.7 s later if it still runs.
    Term,
    /// SIGKILL at once.
    Kill,
}

/// Where in a write to the journal the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Where {
    /// Nothing of it is written.
    Before,
    /// A part is.
    Torn,
    /// All of it is, and nothing after it happens.
    After,
}

/// Something that goes wrong. Which fields go with which kind, `allowed` tells.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// From when, counted from the start of the day.
    pub at: Spanned<Span>,
    /// For how long.
    #[serde(rename = "for")]
    pub lasts: Option<Span>,
    /// Partners that are struck, by number from 0; all if neither this nor `share` is given.
    pub partners: Option<Vec<u32>>,
    /// Share of the partners, endpoints or senders that is struck, drawn from the seed.
    pub share: Option<Percent>,
    /// Only endpoints, or senders, in this building.
    pub building: Option<String>,
    /// Share of the calls that is struck; of the limit that stays.
    pub calls: Option<Percent>,
    /// Senders that are struck, by number from 0.
    pub senders: Option<Vec<u32>>,
    /// How a restart ends the process.
    pub how: Option<How>,
    /// Senders that are restarted at once.
    pub batch: Option<u32>,
    /// Time from one batch, or pause, to the next.
    pub every: Option<Span>,
    /// Length of one pause.
    pub pause: Option<Span>,
    /// Added delay.
    pub delay: Option<Span>,
    /// Which write.
    pub nth: Option<u64>,
    /// Where in that write.
    #[serde(rename = "where")]
    pub place: Option<Where>,
    /// For how long a sender stays away before it is started again.
    pub down: Option<Span>,
    /// Which way a cut holds.
    pub ways: Option<Ways>,
    /// Senders that a cut is from, by number from 0; all others if it is not given.
    pub between: Option<Vec<u32>>,
    /// Whether a cut is one from partners too.
    pub from_partners: Option<bool>,
    /// Added delay that chance draws, at the most.
    pub jitter: Option<Span>,
    /// Over how long those that lost power come back.
    pub back: Option<Span>,
    /// What is in the folder after a restart.
    pub folder: Option<FolderKept>,
    /// Share of those that lost power that never comes back.
    pub never: Option<Percent>,
    /// How far their clocks stand off at the most once they are back, either way.
    pub clock: Option<Span>,
    /// The partners' endpoints in the same building lose power too, and come back cold.
    pub with_partners: Option<bool>,
}

fn spanned<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}

fn default_partners() -> Spanned<u32> {
    spanned(9)
}

fn default_load() -> Spanned<Percent> {
    spanned(Percent(60.0))
}

fn default_vehicles() -> u32 {
    2000
}

fn default_buildings() -> Spanned<Vec<String>> {
    spanned(vec!["building-a".to_owned(), "building-b".to_owned()])
}

fn default_crossing() -> Span {
    Span::millis(110)
}

fn default_disk() -> f64 {
    3.0
}

fn default_list_delay() -> Span {
    Span::millis(1500)
}

fn default_front_notice() -> Span {
    Span::millis(2500)
}

/// What is wrong with a scenario file, and where.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub struct ScenarioError {
    /// The file, as it was named.
    pub file: String,
    /// Line and column, from 1.
    pub place: (usize, usize),
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.place.0, self.place.1, self.what)
    }
}

fn place(text: &str, at: usize) -> (usize, usize) {
    let before = &text.as_bytes()[..at.min(text.len())];
    let line = before.iter().filter(|b| **b == b'\n').count() + 1;
    (line, before.len() - before.iter().rposition(|b| *b == b'\n').map_or(0, |nl| nl + 1) + 1)
}

impl FaultKind {
    /// The fields that a fault of this kind needs, and those that it may have besides `kind` and `at`.
    fn fields(self) -> (&'static [&'static str], &'static [&'static str]) {
        const STRUCK: &[&str] = &["partners", "share", "building"];
        const SENDERS: &[&str] = &["senders", "share", "building"];
        match self {
            Self::Hang | Self::Shut | Self::Vanish | Self::Die | Self::DeadHosts => (&["for"], STRUCK),
            Self::Late => (&["for", "delay"], STRUCK),
            Self::Stall => (&["for", "pause", "every"], STRUCK),
            Self::Full | Self::Errors | Self::Spoil | Self::Reset | Self::LimitFalls => {
                (&["for", "calls"], STRUCK)
            }
            Self::Drain | Self::Move | Self::Rename => (&[], STRUCK),
            Self::MoveDiscovery => (&[], SENDERS),
            Self::ListLag => (&["for", "delay"], &[]),
            Self::ListSilent => (&["for"], SENDERS),
            Self::Deaf | Self::DiskFull | Self::SyncFails | Self::SyncHangs | Self::SyncLies => {
                (&["for"], SENDERS)
            }
            Self::Restart => {
                (&["how"], &["senders", "share", "building", "batch", "every", "down", "folder"])
            }
            Self::PowerLoss => (
                &["for"],
                &["senders", "share", "building", "back", "folder", "never", "clock", "with_partners"],
            ),
            Self::MachineLost => (&[], &["senders", "share", "building", "down"]),
            Self::KillAtWrite => (&["nth", "where"], &["senders", "share", "building", "down"]),
            Self::LinkDelay => (&["for", "delay"], &[]),
            Self::LinkHold | Self::LinkDrop => (&["for"], &[]),
            Self::Cut => (&["for"], &["senders", "share", "building", "ways", "between", "from_partners"]),
            Self::Slow => (&["for", "delay"], &["senders", "share", "building", "jitter"]),
            Self::Lose => (&["for", "calls"], &["senders", "share", "building"]),
            Self::Break => (&["for", "every"], SENDERS),
            Self::Pause => (&["for"], SENDERS),
        }
    }

    /// Whether it strikes what senders say to each other.
    pub fn strikes_peers(self) -> bool {
        matches!(self, Self::Cut | Self::Slow | Self::Lose | Self::Break)
    }

    /// Whether it strikes endpoints of partners.
    pub fn strikes_partners(self) -> bool {
        self.fields().1.contains(&"partners")
    }

    /// Whether a partner comes back cold from it.
    pub fn is_outage(self) -> bool {
        matches!(self, Self::Hang | Self::Shut | Self::Vanish | Self::Die | Self::Errors)
    }
}

impl Fault {
    /// A fault with nothing but its kind and its start.
    pub fn new(kind: FaultKind, at: Span) -> Self {
        Self {
            kind,
            at: spanned(at),
            lasts: None,
            partners: None,
            share: None,
            building: None,
            calls: None,
            senders: None,
            how: None,
            batch: None,
            every: None,
            pause: None,
            delay: None,
            nth: None,
            place: None,
            down: None,
            ways: None,
            between: None,
            from_partners: None,
            jitter: None,
            back: None,
            folder: None,
            never: None,
            clock: None,
            with_partners: None,
        }
    }

    fn given(&self) -> BTreeMap<&'static str, bool> {
        BTreeMap::from([
            ("for", self.lasts.is_some()),
            ("partners", self.partners.is_some()),
            ("never", self.never.is_some()),
            ("clock", self.clock.is_some()),
            ("with_partners", self.with_partners.is_some()),
            ("share", self.share.is_some()),
            ("building", self.building.is_some()),
            ("calls", self.calls.is_some()),
            ("senders", self.senders.is_some()),
            ("how", self.how.is_some()),
            ("batch", self.batch.is_some()),
            ("every", self.every.is_some()),
            ("pause", self.pause.is_some()),
            ("delay", self.delay.is_some()),
            ("nth", self.nth.is_some()),
            ("where", self.place.is_some()),
            ("down", self.down.is_some()),
            ("ways", self.ways.is_some()),
            ("between", self.between.is_some()),
            ("from_partners", self.from_partners.is_some()),
            ("jitter", self.jitter.is_some()),
            ("back", self.back.is_some()),
            ("folder", self.folder.is_some()),
        ])
    }

    /// What is wrong with it in a day of `scenario`.
    fn check(&self, scenario: &Scenario) -> Result<(), String> {
        let name = self.name();
        let (needed, allowed) = self.kind.fields();
        for (field, given) in self.given() {
            if given && !needed.contains(&field) && !allowed.contains(&field) {
                return Err(format!("`{field}` means nothing for a fault of kind \"{name}\""));
            }
            if !given && needed.contains(&field) {
                return Err(format!("a fault of kind \"{name}\" needs `{field}`"));
            }
        }
        if let Some(building) = &self.building
            && !scenario.buildings.get_ref().contains(building)
        {
            return Err(format!("there is no building {building:?}"));
        }
        let known = |list: &Option<Vec<u32>>, most: u32, what: &str| match list {
            Some(numbers) => match numbers.iter().find(|n| **n >= most) {
                Some(n) => Err(format!("there is no {what} {n}: they are numbered from 0 to {}", most - 1)),
                None => Ok(()),
            },
            None => Ok(()),
        };
        known(&self.partners, *scenario.partners.get_ref(), "partner")?;
        known(&self.senders, *scenario.senders.get_ref(), "sender")?;
        known(&self.between, *scenario.senders.get_ref(), "sender")?;
        if self.nth == Some(0) || self.batch == Some(0) {
            return Err("`nth` and `batch` count from 1".to_owned());
        }
        if self.every == Some(Span(0)) || self.lasts == Some(Span(0)) {
            return Err("`every` and `for` must be longer than nothing".to_owned());
        }
        if let (Some(pause), Some(every)) = (self.pause, self.every)
            && pause >= every
        {
            return Err("`pause` must be shorter than `every`".to_owned());
        }
        if self.kind.strikes_peers() && !scenario.has_peers() {
            return Err(format!(
                "a fault of kind \"{name}\" needs `[operator.peers]`: else nothing passes between senders"
            ));
        }
        let end = Span(self.at.get_ref().0 + self.lasts.unwrap_or(Span(0)).0);
        if end > *scenario.length.get_ref() {
            return Err(format!("the fault ends at {end}, outside the day of {}", scenario.length.get_ref()));
        }
        Ok(())
    }

    /// The kind as files write it.
    pub fn name(&self) -> String {
        let debug = format!("{:?}", self.kind);
        let mut name = String::new();
        for c in debug.chars() {
            if c.is_uppercase() && !name.is_empty() {
                name.push('-');
            }
            name.push(c.to_ascii_lowercase());
        }
        name
    }
}

impl Scenario {
    /// Reads and checks one; `file` is only named in errors.
    ///
    /// # Errors
    /// The first thing that is wrong: an unknown field, a wrong unit, a fault outside the day or one that
    /// names what does not exist, with file, line and column.
    pub fn parse(file: &str, text: &str) -> Result<Self, ScenarioError> {
        let error =
            |at: usize, what: String| ScenarioError { file: file.to_owned(), place: place(text, at), what };
        let scenario: Self = toml::from_str(text).map_err(|e| {
            error(e.span().map_or(0, |span| span.start), e.message().replace('\n', " ").trim().to_owned())
        })?;
        let bound = |ok: bool, at: usize, what: String| if ok { Ok(()) } else { Err(error(at, what)) };
        let length = *scenario.length.get_ref();
        bound(
            length >= Span::seconds(1) && length <= MOST_LENGTH,
            scenario.length.span().start,
            format!("`length` must lie between 1 s and {MOST_LENGTH}"),
        )?;
        for (what, number) in [("senders", &scenario.senders), ("partners", &scenario.partners)] {
            bound(
                (1..=MOST_PARTIES).contains(number.get_ref()),
                number.span().start,
                format!("`{what}` must lie between 1 and {MOST_PARTIES}"),
            )?;
        }
        let load = scenario.load.get_ref().0;
        bound(
            (5.0..=200.0).contains(&load),
            scenario.load.span().start,
            "`load` must lie between 5% and 200%".to_owned(),
        )?;
        bound(
            !scenario.buildings.get_ref().is_empty(),
            scenario.buildings.span().start,
            "there must be a building".to_owned(),
        )?;
        if let Some(operator) = &scenario.operator {
            let place = operator.span().start;
            link_faults::operator_file(operator.get_ref(), &[])
                .map_err(|what| error(place, what.to_string()))?;
        }
        for look in &scenario.look {
            let fits = look.sender < *scenario.senders.get_ref() && *look.at.get_ref() <= length;
            let what = "a look is at a sender, by number from 0, and within the day".to_owned();
            bound(fits, look.at.span().start, what)?;
        }
        for peak in &scenario.peak {
            let end = Span(peak.at.get_ref().0 + peak.lasts.0);
            let what = format!("the peak ends at {end}, outside the day of {length}");
            bound(end <= length, peak.at.span().start, what)?;
            let times = "`times` must lie between 0 and 10".to_owned();
            bound((0.0..=10.0).contains(&peak.times), peak.at.span().start, times)?;
        }
        for fault in &scenario.fault {
            let at = fault.get_ref().at.span().start;
            fault.get_ref().check(&scenario).map_err(|what| error(at, what))?;
        }
        Ok(scenario)
    }

    /// Whether its senders know each other.
    #[must_use]
    pub fn has_peers(&self) -> bool {
        self.operator.as_ref().is_some_and(|operator| operator.get_ref().contains_key("peers"))
    }

    /// Another length of the day, between 1 s and [`MOST_LENGTH`].
    pub fn set_length(&mut self, length: Span) {
        *self.length.get_mut() = length.clamp(Span::seconds(1), MOST_LENGTH);
    }

    /// The faults.
    pub fn faults(&self) -> impl Iterator<Item = &Fault> {
        self.fault.iter().map(Spanned::get_ref)
    }
}

#[cfg(test)]
mod tests;
