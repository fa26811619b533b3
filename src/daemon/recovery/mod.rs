//! Recovery after a restart: the driver of [`micadrum_recovery`]. Reads the journal, queries other members,
//! and reports progress to the log and the admin endpoint.
mod peer_queries;
mod status;

pub use status::RecoveryStatus;

use super::clock::{Clock, ClockContinuity, Predecessor};
use super::config::Config;
use super::journal::{CorruptionReport, Journal, JournalError};
use super::journal_opening::open_journal;
use super::membership;
use super::ports::Ports;
use micadrum_config::{Durability, Recovery};
use micadrum_recovery::journal_trust::{JournalTrust, RecoveryInputs};
use micadrum_recovery::peer_report::combine;
use micadrum_recovery::phases::Settings;
use micadrum_recovery::{EndpointRestrictions, JournalStamp, Trust};
use peer_queries::{QueryResult, QuerySummary, query_peers, wait_for_known_incarnation};
use status::{QueriedTrust, RecoveryParameters};
use tokio::time::Instant;

/// Minimum interval between time records in the journal, in microseconds.
const MIN_TIME_RECORD_INTERVAL_US: u64 = 1_000_000;

/// The results of recovery that the event loop needs in addition to the journal.
#[derive(Default)]
pub struct RecoveryOutcome {
    /// The restrictions on endpoints that other senders reported.
    pub restrictions: EndpointRestrictions,
    /// The stamp to write to the journal once the event loop has restored its messages, or `None` without
    /// recovery.
    pub stamp: Option<JournalStamp>,
}

/// A journal that was read and assessed.
pub struct RecoveredJournal {
    pub journal: Journal,
    pub clock: Clock,
    pub corruption: CorruptionReport,
    pub outcome: RecoveryOutcome,
}

/// The configuration and the resources of the process that recovery uses.
pub struct RecoveryContext<'a> {
    pub settings: &'a Recovery,
    pub config: &'a Config,
    pub ports: &'a Ports,
    /// Upper bound on the disk space of the journal, in bytes.
    pub disk_bytes: u64,
    pub peers: Option<&'a membership::Handle>,
}

/// Reads and assesses the journal, and queries other members if the assessment requires it.
///
/// # Errors
/// Returns an error if the journal cannot be opened.
pub async fn recover(
    status: &RecoveryStatus,
    context: &RecoveryContext<'_>,
) -> Result<RecoveredJournal, JournalError> {
    let origin = Instant::now();
    let AssessedJournal { journal, clock, corruption, mut trust } = assess_journal(context).await?;
    let settings = phase_settings(context.settings);
    // From here on, the reports that other members query from this sender show that it is recovering.
    status.start(RecoveryParameters {
        trust: trust.clone(),
        settings,
        deduplication_hold: context.settings.deduplication_hold.as_duration(),
        origin,
        log: context.ports.log.clone(),
        writes_traces: context.ports.traces.recovery,
    });
    let query = query_members(context, &mut trust, origin + settings.peer_query_timeout).await;
    let restrictions = query.as_ref().map(|query| combine(&query.reports)).unwrap_or_default();
    let peer_query = query.map(|query| query.summary);
    log_findings(context.ports, &trust, peer_query.as_ref(), &restrictions);
    let stamp = JournalStamp {
        sender: context.config.name.clone(),
        boot: context.ports.boot,
        wall: clock.now().0,
        survives_machine_crash: matches!(context.config.operator.durability, Durability::Machine { .. }),
    };
    status.finish_query(QueriedTrust { trust, peer_query });
    Ok(RecoveredJournal {
        journal,
        clock,
        corruption,
        outcome: RecoveryOutcome { restrictions, stamp: Some(stamp) },
    })
}

struct AssessedJournal {
    journal: Journal,
    clock: Clock,
    corruption: CorruptionReport,
    trust: Trust,
}

/// Opens and assesses the journal. The journal of another sender is set aside and replaced by an empty one.
async fn assess_journal(context: &RecoveryContext<'_>) -> Result<AssessedJournal, JournalError> {
    let storage = &context.ports.storage;
    let (mut journal, corruption) = open_journal(context.ports, context.disk_bytes).await;
    let mut clock = Clock::resume(&journal, Predecessor::Ended, context.ports);
    if clock.continuity() == ClockContinuity::Unknown {
        // `Trust` decides whether the times in the journal are reliable, based on the machine's clock and on
        // peers.
        clock = clock.restarted_at_wall_time(context.ports);
    }
    let trust = Trust::assess(&RecoveryInputs {
        own_name: &context.config.name,
        boot: context.ports.boot,
        wall: clock.now().0,
        trusts_clock: context.settings.trusts_clock,
        stamp: journal.last_stamp(),
        latest_wall: journal.latest_time(),
        is_empty: journal.is_empty(),
        corrupt_bytes: corruption.skipped_bytes,
        torn_bytes: corruption.truncated_bytes,
    });
    if trust.journal == JournalTrust::Foreign {
        drop(journal);
        Journal::rename_foreign(&**storage)?;
        journal = Journal::open(storage.clone(), context.disk_bytes)?.0;
        clock = Clock::resume(&journal, Predecessor::Ended, context.ports);
    }
    Ok(AssessedJournal { journal, clock, corruption, trust })
}

fn phase_settings(recovery: &Recovery) -> Settings {
    Settings {
        peer_query_timeout: recovery.peer_query_timeout.as_duration(),
        endpoint_list_timeout: recovery.endpoint_list_timeout.as_duration(),
        backlog_timeout: recovery.backlog_timeout.as_duration(),
        admission_ramp: recovery.admission_ramp.as_duration(),
        initial_admissions_per_second: recovery.initial_admissions_per_second,
    }
}

/// Queries other members until `deadline`, and updates `trust` from the results. Returns `None` if no peer
/// reports are queried.
async fn query_members(
    context: &RecoveryContext<'_>,
    trust: &mut Trust,
    deadline: Instant,
) -> Option<QueryResult> {
    let (peers, members) = (context.peers?, context.config.operator.peers.as_ref()?);
    // Runs even if only the process crashed, to detect a state folder that was restored from an older copy.
    if let Some(known) = wait_for_known_incarnation(peers, deadline).await {
        trust.apply_known_incarnation(known);
    }
    if !trust.queries_peers() {
        return None;
    }
    let query = query_peers(peers, members, context.ports, deadline).await;
    trust.apply_clock_offsets(&query.clock_offsets_us());
    Some(query)
}

fn log_findings(
    ports: &Ports,
    trust: &Trust,
    peer_query: Option<&QuerySummary>,
    restrictions: &EndpointRestrictions,
) {
    for finding in &trust.findings {
        ports.log.line(&format!("recovery: {finding}"));
    }
    if let Some(QuerySummary { answered, at_full_service, unanswered, .. }) = peer_query {
        let note = if *answered == 0 { ", none answered, continuing without them" } else { "" };
        let restricted = restrictions.endpoints.len();
        ports.log.line(&format!(
            "recovery: peers queried{note} answered={answered} at_full_service={at_full_service} \
             unanswered={unanswered} restricted_endpoints={restricted}"
        ));
    }
}

/// Writes time records to the journal at intervals. A later process takes them as the earliest possible time
/// at which the messages after a record were accepted.
#[derive(Default)]
pub struct TimeMarker {
    last_us: Option<u64>,
}

impl TimeMarker {
    /// Records the wall time `now_us`, in microseconds, unless the last record is recent. Called before a
    /// message is accepted.
    pub fn record_if_due(&mut self, journal: &mut Journal, now_us: u64) {
        if self.last_us.is_some_and(|last| now_us.abs_diff(last) < MIN_TIME_RECORD_INTERVAL_US) {
            return;
        }
        self.last_us = Some(now_us);
        // If the record is missing, a later process assumes an earlier time, which is safe.
        let _ = journal.record_acceptance_bound(now_us);
    }
}
