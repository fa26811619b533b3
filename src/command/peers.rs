//! Formats the membership views of running senders as tables for the terminal.
use micadrum_membership::{LocalStatus, PeerView, Reach, Status, View};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

/// The path from a member is shown as one-way if datagrams arrive directly from it, but it has not
/// acknowledged a direct ping for this long.
const ONE_WAY_THRESHOLD: Duration = Duration::from_secs(30);
const COLUMNS: usize = 9;
const HEADINGS: [&str; COLUMNS] =
    ["member", "status", "since", "heard", "way", "there and back", "life", "building", "address"];
const NO_VIEW: &str = "peers: membership has not started: its address is not bound yet\n";

/// Formats a view as a summary of the sender's own state, followed by a table with a row for each other
/// member.
pub fn format_table(view: &Option<View>) -> String {
    let Some(view) = view else { return NO_VIEW.to_owned() };
    let mut text = format_local_state(view);
    text.push_str(&format_counts(view));
    let mut rows = vec![HEADINGS.map(str::to_owned)];
    rows.extend(view.peers.iter().map(|peer| format_row(view.at, peer)));
    let widths: Vec<usize> =
        (0..COLUMNS).map(|column| rows.iter().map(|row| row[column].len()).max().unwrap_or(0)).collect();
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        let _ = writeln!(text, "{}", cells.join("  ").trim_end());
    }
    text
}

fn format_local_state(view: &View) -> String {
    let mut parts = vec![format!(
        "{}: life {}, {}",
        view.own_name,
        view.incarnation.number,
        local_status_label(view.local_status)
    )];
    if view.lost_state {
        parts.push("lost the state of earlier lives".to_owned());
    }
    if view.isolated {
        parts.push("isolated: no member answers, the statuses below are not meaningful".to_owned());
    }
    if view.local_health_score > 0 {
        parts.push(format!("health score {} of 8 (0 is healthy)", view.local_health_score));
    }
    parts.join("; ") + "\n"
}

fn format_counts(view: &View) -> String {
    let counts = view.counts;
    format!(
        "sent {} datagrams, {} bytes, {} dropped over send budget; received {}: {} foreign, {} forged, {} stale, {} over limit\n",
        counts.sent,
        counts.sent_bytes,
        counts.over_budget,
        counts.received,
        counts.foreign,
        counts.forged,
        counts.stale,
        counts.over_limit
    )
}

/// The entry of one member in the response to `/status/peers/all`.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerResponse {
    /// The view of the fleet that the member returned.
    View(Box<View>),
    /// The reason why the member's view is not available.
    #[serde(rename = "silent")]
    Unavailable(String),
}

/// Formats the views of all members as a matrix: a row for each queried member, with a column for each member
/// that it sees.
pub fn format_matrix(responses: &Option<BTreeMap<String, PeerResponse>>) -> String {
    let Some(responses) = responses else { return NO_VIEW.to_owned() };
    let width = responses.keys().map(String::len).max().unwrap_or(0).max(4);
    let mut text = format!("{:width$}", "");
    for name in responses.keys() {
        let _ = write!(text, " {name:>width$}");
    }
    text.push('\n');
    for (name, response) in responses {
        let _ = write!(text, "{name:width$}");
        match response {
            PeerResponse::Unavailable(reason) => drop(write!(text, " {reason}")),
            PeerResponse::View(view) => {
                for other in responses.keys() {
                    let _ = write!(text, " {:>width$}", status_cell(view, name, other));
                }
            }
        }
        text.push('\n');
    }
    text
}

/// Returns the status of the member `other` in the view of the member `name`.
fn status_cell(view: &View, name: &str, other: &str) -> &'static str {
    match view.peers.iter().find(|peer| peer.name == *other).map(|peer| peer.status) {
        None if other == name => "-",
        None => "?",
        Some(Status::Unknown) => ".",
        Some(Status::Live) => "live",
        Some(Status::Suspect) => "susp",
        Some(Status::Dead) => "DEAD",
        Some(Status::Left) => "left",
    }
}

fn local_status_label(status: LocalStatus) -> &'static str {
    match status {
        LocalStatus::PersistingIncarnation => "silent until its life number is persisted",
        LocalStatus::ConfirmingIncarnation => "not yet confirmed by a majority",
        LocalStatus::Confirmed => "confirmed by a majority",
        LocalStatus::Superseded => "silent: superseded by a later process with the same name",
        LocalStatus::Exhausted => "silent: no higher life number is left",
        LocalStatus::Left => "left the fleet",
    }
}

fn format_row(now: Duration, peer: &PeerView) -> [String; COLUMNS] {
    let age = |at: Option<Duration>| at.map_or("-".to_owned(), |at| format_duration(now.saturating_sub(at)));
    let status = match peer.status {
        Status::Unknown => "unknown",
        Status::Live => "live",
        Status::Suspect => "suspect",
        Status::Dead => "dead",
        Status::Left => "left",
    };
    let round_trip =
        peer.round_trip.map_or("-".to_owned(), |time| format!("{:.1} ms", time.as_secs_f64() * 1e3));
    [
        peer.name.clone(),
        status.to_owned(),
        age(Some(peer.since)),
        age(peer.last_heard),
        path_label(now, peer).to_owned(),
        round_trip,
        format_incarnation(peer),
        peer.zone.clone(),
        peer.address.to_string(),
    ]
}

fn path_label(now: Duration, peer: &PeerView) -> &'static str {
    let is_unanswered = peer.last_direct_ack.is_none_or(|at| now.saturating_sub(at) > ONE_WAY_THRESHOLD);
    match peer.reach {
        None => "-",
        Some(Reach::Relayed) => "relayed",
        Some(Reach::Direct) if is_unanswered && now > ONE_WAY_THRESHOLD => "one-way",
        Some(Reach::Direct) => "direct",
    }
}

fn format_incarnation(peer: &PeerView) -> String {
    let Some(incarnation) = peer.incarnation else { return "-".to_owned() };
    let lost_state = if peer.lost_state { " (state lost)" } else { "" };
    let roster = if peer.roster_differs { " (different member list)" } else { "" };
    format!("{}{lost_state}{roster}", incarnation.number)
}

fn format_duration(duration: Duration) -> String {
    match duration.as_secs() {
        0 => format!("{} ms", duration.as_millis()),
        seconds @ 1..=599 => format!("{seconds} s"),
        seconds @ 600..=35_999 => format!("{} min", seconds / 60),
        seconds => format!("{} h", seconds / 3600),
    }
}
