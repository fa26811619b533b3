//! After a restart: carries out what `micadrum_recovery` decides. It reads what the journal was written by, asks the peers,
//! and tells the log and the door where the return stands.
mod peer_queries;

use super::config::Config;
use super::journal::{CorruptionReport, Journal, JournalError};
use super::membership;
use super::ports::{Log, Ports};
use micadrum_config::{Durability, Recovery as Set};
use micadrum_recovery::journal_trust::{Clock, JournalTrust, RecoveryInputs};
use micadrum_recovery::message_recovery::{
    LeftoverMessage, Repeats, Verdict, judge, time_left, turned_away_for,
};
use micadrum_recovery::peer_report::{add_up, offsets};
use micadrum_recovery::phases::{Input, RecoveryPhase, Settings, Step};
use micadrum_recovery::{EndpointRestrictions, JournalStamp, Phases, Record, Trust};
use peer_queries::Asked;
use serde::Serialize;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Between two moments that the journal is told, at the least.
const MARK_EVERY: u64 = 1_000_000;

/// Where the return stands, for the door.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The stage.
    pub stage: RecoveryPhase,
    /// For how long, in microseconds.
    pub for_us: u64,
    /// What it waits for.
    pub waits_for: &'static str,
    /// What is trusted.
    pub trust: Trust,
    /// Who was asked; none where nobody was.
    pub asked: Option<Asked>,
    /// Stages that are over.
    pub steps: Vec<Step>,
}

struct Inner {
    trust: Trust,
    stages: Phases,
    asked: Option<Asked>,
    origin: Instant,
    wait_out: Duration,
    full_since: Option<Instant>,
    log: Rc<dyn Log>,
    trace: bool,
}

/// The return of one process; all handles are alike. Empty until its journal is read, and for good where this part is off.
#[derive(Clone, Default)]
pub struct RecoveryStatus(Rc<RefCell<Option<Inner>>>);

impl RecoveryStatus {
    /// Where it stands; none where this part is off.
    pub fn report(&self) -> Option<Report> {
        let inner = self.0.borrow();
        let Inner { trust, stages, asked, origin, .. } = inner.as_ref()?;
        Some(Report {
            stage: stages.stage(),
            for_us: origin.elapsed().saturating_sub(stages.since()).as_micros() as u64,
            waits_for: stages.stage().waits_for(),
            trust: trust.clone(),
            asked: asked.clone(),
            steps: stages.steps().to_vec(),
        })
    }

    /// For how long it has been at full service, in microseconds.
    pub fn steady_for(&self, since_start: Duration) -> Option<u64> {
        match &*self.0.borrow() {
            Some(inner) => inner.full_since.map(|since| since.elapsed().as_micros() as u64),
            None => Some(since_start.as_micros() as u64),
        }
    }

    fn with<T>(&self, act: impl FnOnce(&mut Inner, Duration) -> T) -> Option<T> {
        let mut inner = self.0.borrow_mut();
        inner.as_mut().map(|inner| {
            let now = inner.origin.elapsed();
            act(inner, now)
        })
    }

    /// Whether clients may come.
    pub fn is_open(&self) -> bool {
        self.0.borrow().as_ref().is_none_or(|inner| inner.stages.is_open())
    }

    /// Whether what is owed may be sent.
    pub fn may_send(&self) -> bool {
        self.0.borrow().as_ref().is_none_or(|inner| inner.stages.may_send())
    }

    /// Whether it is at full service.
    pub fn is_full(&self) -> bool {
        self.0.borrow().as_ref().is_none_or(|inner| inner.stages.stage() == RecoveryPhase::Full)
    }

    /// When time alone changes something.
    pub fn due(&self) -> Option<Instant> {
        let inner = self.0.borrow();
        let inner = inner.as_ref()?;
        inner.stages.due().map(|due| inner.origin + due)
    }

    /// Something happened; whether the stage is another now.
    pub fn handle(&self, input: Input) -> bool {
        self.with(|inner, now| {
            let before = inner.stages.steps().len();
            let moved = inner.stages.handle(input, now);
            inner.tell(before);
            moved
        })
        .unwrap_or(false)
    }

    /// Lets a newcomer in, or says when to come again.
    ///
    /// # Errors
    /// How long to wait.
    pub fn admit(&self) -> Result<(), Duration> {
        self.with(|inner, now| inner.stages.admit(now)).unwrap_or(Ok(()))
    }

    /// What becomes of a message that the journal has.
    pub fn judge(&self, repeats: Repeats, left: LeftoverMessage) -> Verdict {
        self.0.borrow().as_ref().map_or(Verdict::AsWritten, |inner| judge(&inner.trust, repeats, left))
    }

    /// How much longer newcomers of a class are turned away, as one of before could not be told from a new one.
    pub fn turns_away(&self, repeats: Repeats) -> Option<Duration> {
        let inner = self.0.borrow();
        let inner = inner.as_ref()?;
        turned_away_for(repeats, inner.trust.knows_ids(), inner.wait_out, inner.origin.elapsed())
    }

    /// The time that is left to a message of before; as [`time_left`].
    pub fn time_left(&self, deadline: u64, latest: u64, wall: u64, most: u64) -> u64 {
        match &*self.0.borrow() {
            Some(inner) => time_left(&inner.trust, deadline, latest, wall, most),
            None => deadline.saturating_sub(wall),
        }
    }

    /// Whether spans since before the start mean anything.
    pub fn believes_clock(&self) -> bool {
        self.0.borrow().as_ref().is_none_or(|inner| inner.trust.clock == Clock::Believed)
    }
}

impl Inner {
    fn record(&self, record: &Record) {
        if self.trace {
            // Names and numbers always have a JSON form.
            let record = serde_json::to_string(record).unwrap_or_default();
            self.log.line(&format!("trace recovery {record}"));
        }
    }

    /// Tells of the stages that have ended since there were so many.
    fn tell(&mut self, before: usize) {
        for step in &self.stages.steps()[before..] {
            let (stage, why) = (step.stage, step.why);
            self.record(&Record::Step(*step));
            self.log.line(&format!("recovery: {stage:?} ended after {} ms ({why:?})", step.took / 1000));
        }
        if self.stages.steps().len() > before {
            let stage = self.stages.stage();
            self.log.line(&format!("recovery: {stage:?}, waits for {}", stage.waits_for()));
        }
        if self.stages.stage() == RecoveryPhase::Full && self.full_since.is_none() {
            self.full_since = Some(Instant::now());
        }
    }
}

/// What a process begins with beside its journal.
#[derive(Default)]
pub struct RecoveryStart {
    /// What others warn of.
    pub caution: EndpointRestrictions,
    /// What is written at the journal's end once it is taken up.
    pub stamp: Option<JournalStamp>,
}

/// Reads the journal, judges it, and asks the peers where that is of use: the journal, and what others add to the rest.
///
/// # Errors
/// The journal cannot be opened.
pub async fn begin(
    returning: &RecoveryStatus,
    set: &Set,
    config: &Config,
    ports: &Ports,
    disk: u64,
    peers: Option<&membership::Handle>,
) -> Result<(Journal, CorruptionReport, RecoveryStart), JournalError> {
    let origin = Instant::now();
    let wall = || ports.wall.now().as_micros() as u64;
    let (mut store, damage) = Journal::open(ports.storage.clone(), disk)?;
    let mut trust = Trust::judge(&RecoveryInputs {
        own: &config.name,
        boot: ports.boot,
        wall: wall(),
        clock_vouched: set.trusts_clock,
        stamp: store.stamped(),
        latest: store.latest(),
        empty: store.is_empty(),
        skipped: damage.skipped,
        torn: damage.torn,
    });
    if trust.journal == JournalTrust::Void {
        drop(store);
        Journal::set_aside(&*ports.storage)?;
        store = Journal::open(ports.storage.clone(), disk)?.0;
    }
    let micros = |span: micadrum_config::units::Span| Duration::from_micros(span.0);
    let settings = Settings {
        ask_for: micros(set.peer_query_timeout),
        list_for: micros(set.endpoint_list_timeout),
        finish_for: micros(set.backlog_timeout),
        full_after: micros(set.admission_ramp),
        newcomers: set.initial_admissions_per_second,
    };
    // Others begin to ask this one by now.
    *returning.0.borrow_mut() = Some(Inner {
        trust: trust.clone(),
        stages: Phases::new(settings, Duration::ZERO),
        asked: None,
        origin,
        wait_out: micros(set.deduplication_hold),
        full_since: None,
        log: ports.log.clone(),
        trace: ports.traces.recovery,
    });
    let mut caution = EndpointRestrictions::default();
    let mut asked = None;
    if let (Some(peers), Some(members)) = (peers, &config.operator.peers) {
        let until = origin + settings.ask_for;
        // Whoever comes back from a mere crash asks nothing, but hears whether its folder is the last that it had.
        let forgot = peer_queries::lives(peers, until).await;
        if let Some(known) = forgot {
            trust.others_know(known);
        }
        if trust.asks() {
            let (words, counts) = peer_queries::words(peers, members, ports, until).await;
            let clocks: Vec<_> = words.iter().filter_map(peer_queries::Heard::clocks).collect();
            trust.others_have(&offsets(&clocks));
            caution = add_up(&words.iter().map(peer_queries::Heard::word).collect::<Vec<_>>());
            asked = Some(counts);
        }
    }
    for finding in &trust.findings {
        ports.log.line(&format!("recovery: {finding}"));
    }
    if let Some(Asked { answered, steady, silent, .. }) = &asked {
        let alone = if *answered == 0 { ": alone, it serves all the same" } else { "" };
        ports.log.line(&format!(
            "recovery: {answered} peers answered, {steady} of them at full service, {silent} did not{alone}; caution for {} \
             endpoints",
            caution.endpoints.len()
        ));
    }
    let outlasts_machine = matches!(config.operator.durability, Durability::Machine { .. });
    let stamp =
        JournalStamp { sender: config.name.clone(), boot: ports.boot, wall: wall(), outlasts_machine };
    returning.with(|inner, now| {
        inner.record(&Record::Trust(trust.clone()));
        if trust.takes_stages() {
            inner.stages.handle(Input::Asked, now);
        } else {
            inner.stages = Phases::full(settings, now);
            inner.full_since = Some(Instant::now());
        }
        (inner.trust, inner.asked) = (trust, asked);
        inner.tell(0);
    });
    Ok((store, damage, RecoveryStart { caution, stamp: Some(stamp) }))
}

/// Tells the journal of the time now and then, so that a later process knows what was not taken on before.
#[derive(Default)]
pub struct Marks {
    last: Option<u64>,
}

impl Marks {
    /// Before a message is taken on at `now`, wall clock.
    pub fn mark(&mut self, store: &mut Journal, now: u64) {
        if self.last.is_some_and(|last| now.abs_diff(last) < MARK_EVERY) {
            return;
        }
        self.last = Some(now);
        // Without it a later process is more careful than it need be.
        let _ = store.mark_time(now);
    }
}
