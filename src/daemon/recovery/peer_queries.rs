//! Queries other members for their peer reports, over links.
use crate::daemon::membership::{Handle, ReportQuery};
use crate::daemon::ports::Ports;
use micadrum_config::Peers;
use micadrum_membership::LocalStatus;
use micadrum_recovery::peer_query::{AgedReport, Candidate, QueryCounts, QueryEnd};
use micadrum_recovery::peer_report::ClockPair;
use micadrum_recovery::{PeerQuery, PeerReport};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use serde::Serialize;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// How often this sender's own membership status is checked.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The random stream that determines the order of candidates. Streams 0 and 1 belong to membership.
const CANDIDATE_RNG_STREAM: u64 = 2;

/// A summary of the query, for `/status/recovery`.
#[derive(Clone, Debug, Serialize)]
pub struct QuerySummary {
    /// The number of peers that answered.
    pub answered: usize,
    /// The number of peers that answered and are at full service.
    #[serde(rename = "steady")]
    pub at_full_service: usize,
    /// Peers that were queried and did not answer.
    #[serde(rename = "silent")]
    pub unanswered: usize,
    /// The duration of the query, in microseconds.
    #[serde(rename = "took")]
    pub took_us: u64,
    /// Whether the query ended by its timeout.
    #[serde(rename = "late")]
    pub timed_out: bool,
}

/// The result of a query of peers.
pub struct QueryResult {
    pub reports: Vec<AgedReport>,
    pub summary: QuerySummary,
    /// This machine's wall clock at the end of the query, in microseconds.
    wall_us: u64,
}

impl QueryResult {
    /// Returns how far this machine's clock is ahead of the clocks of peers at full service, in microseconds.
    pub fn clock_offsets_us(&self) -> Vec<i64> {
        let at_full_service = self.reports.iter().filter(|aged| aged.report.is_at_full_service());
        let clocks = |aged: &AgedReport| ClockPair {
            peer_us: aged.report.wall_us,
            own_us: self.wall_us.saturating_sub(aged.age.as_micros() as u64),
        };
        at_full_service.map(|aged| clocks(aged).offset_us()).collect()
    }
}

/// Waits until a majority of members has confirmed this sender's incarnation, until `deadline` at the latest.
/// If the state folder was lost or outdated, returns the number of this sender's incarnation that other
/// members knew.
pub async fn wait_for_known_incarnation(peers: &Handle, deadline: Instant) -> Option<u64> {
    let views = peers.views();
    loop {
        if let Some(view) = views.current() {
            if view.lost_state {
                // This sender's incarnation is one above the incarnation that others knew.
                return Some(view.incarnation.number.saturating_sub(1));
            }
            let is_pending = matches!(
                view.local_status,
                LocalStatus::PersistingIncarnation | LocalStatus::ConfirmingIncarnation
            );
            if !is_pending {
                return None;
            }
        }
        let now = Instant::now();
        if now >= deadline {
            return None;
        }
        sleep(STATUS_POLL_INTERVAL.min(deadline - now)).await;
    }
}

/// Queries some peers for their reports, until `deadline` at the latest.
pub async fn query_peers(peers: &Handle, members: &Peers, ports: &Ports, deadline: Instant) -> QueryResult {
    let started_at = Instant::now();
    let elapsed = || started_at.elapsed();
    let own_zone = members.members.get(&members.own_name).map_or("", |member| &member.zone);
    let timeout = deadline.saturating_duration_since(started_at);
    let mut query = PeerQuery::new(shuffled_candidates(members, ports), own_zone, timeout);
    let (answers, mut received_answers) = unbounded_channel();
    let mut in_flight = JoinSet::new();
    let end = loop {
        while let Some(name) = query.next_to_query(elapsed()) {
            in_flight.spawn_local(query_peer(peers.report_query(), name, answers.clone()));
        }
        if let Some(end) = query.end(elapsed()) {
            break end;
        }
        tokio::select! {
            biased;
            Some(Answer { name, report }) = received_answers.recv() => {
                query.handle_answer(&name, report, elapsed());
            }
            () = sleep_until(started_at + query.deadline()) => {}
        }
    };
    let wall_us = ports.wall.now().as_micros() as u64;
    let QueryCounts { answered, at_full_service, unanswered } = query.counts();
    let took_us = elapsed().as_micros() as u64;
    let timed_out = end == QueryEnd::TimedOut;
    let summary = QuerySummary { answered, at_full_service, unanswered, took_us, timed_out };
    QueryResult { reports: query.reports(elapsed()), summary, wall_us }
}

/// The answer of a peer. `report` is `None` if the peer did not answer.
struct Answer {
    name: String,
    report: Option<PeerReport>,
}

async fn query_peer(query: ReportQuery, name: String, answers: UnboundedSender<Answer>) {
    let report = query.report_of(&name).await;
    let _ = answers.send(Answer { name, report });
}

/// Returns all other members, in random order.
fn shuffled_candidates(members: &Peers, ports: &Ports) -> Vec<Candidate> {
    let mut rng = ChaCha8Rng::from_seed(ports.entropy);
    rng.set_stream(CANDIDATE_RNG_STREAM);
    let others = members.members.values().filter(|member| member.name != members.own_name);
    let candidate = |name: &str, zone: &str| Candidate { name: name.to_owned(), zone: zone.to_owned() };
    let mut keyed: Vec<(u64, Candidate)> =
        others.map(|member| (rng.next_u64(), candidate(&member.name, &member.zone))).collect();
    keyed.sort_by_key(|(key, _)| *key);
    keyed.into_iter().map(|(_, candidate)| candidate).collect()
}
