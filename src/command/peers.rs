//! The membership view of a running sender, as a table for the terminal.
use micadrum_membership::{LocalStatus, PeerView, Reach, Status, View};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

/// A member that is heard directly, but has not answered a direct ping for this long, does not receive our datagrams.
const ONE_WAY_THRESHOLD: Duration = Duration::from_secs(30);
const COLUMNS: usize = 9;
const HEADINGS: [&str; COLUMNS] =
    ["member", "status", "since", "heard", "way", "there and back", "life", "building", "address"];
const NO_VIEW: &str = "peers: not speaking yet: the address is not free\n";

/// Formats a view as a table, below a summary of the sender's own state.
pub fn table(view: &Option<View>) -> String {
    let Some(view) = view else { return NO_VIEW.to_owned() };
    let mut text = summary(view);
    text.push_str(&traffic(view));
    let mut rows = vec![HEADINGS.map(str::to_owned)];
    rows.extend(view.peers.iter().map(|peer| row(view.at, peer)));
    let widths: Vec<usize> =
        (0..COLUMNS).map(|column| rows.iter().map(|row| row[column].len()).max().unwrap_or(0)).collect();
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        let _ = writeln!(text, "{}", cells.join("  ").trim_end());
    }
    text
}

fn summary(view: &View) -> String {
    let mut parts =
        vec![format!("{}: life {}, {}", view.own_name, view.incarnation.number, describe(view.local_status))];
    if view.lost_state {
        parts.push("has forgotten earlier lives".to_owned());
    }
    if view.isolated {
        parts.push("hears nobody: what stands below says nothing of the others".to_owned());
    }
    if view.local_health_score > 0 {
        parts.push(format!("doubts itself ({} of 8)", view.local_health_score));
    }
    parts.join("; ") + "\n"
}

fn traffic(view: &View) -> String {
    let counts = view.counts;
    format!(
        "sent {} datagrams, {} bytes, held back {}; came {}: {} foreign, {} forged, {} stale, {} too many\n",
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

/// A member's answer in `/status/peers/all`.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerAnswer {
    /// The member's view.
    View(Box<View>),
    /// Why the member gave no view.
    Silent(String),
}

/// Formats the views of all members as a matrix: a row per member queried, a column per member seen.
pub fn matrix(answers: &Option<BTreeMap<String, PeerAnswer>>) -> String {
    let Some(answers) = answers else { return NO_VIEW.to_owned() };
    let width = answers.keys().map(String::len).max().unwrap_or(0).max(4);
    let mut text = format!("{:width$}", "");
    for name in answers.keys() {
        let _ = write!(text, " {name:>width$}");
    }
    text.push('\n');
    for (name, answer) in answers {
        let _ = write!(text, "{name:width$}");
        match answer {
            PeerAnswer::Silent(reason) => drop(write!(text, " {reason}")),
            PeerAnswer::View(view) => {
                for other in answers.keys() {
                    let _ = write!(text, " {:>width$}", cell(view, name, other));
                }
            }
        }
        text.push('\n');
    }
    text
}

/// Returns what the member `name` sees of the member `other`.
fn cell(view: &View, name: &str, other: &str) -> &'static str {
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

fn describe(status: LocalStatus) -> &'static str {
    match status {
        LocalStatus::PersistingIncarnation => "silent until its life is written down",
        LocalStatus::ConfirmingIncarnation => "not yet known to most",
        LocalStatus::Confirmed => "known to most",
        LocalStatus::Superseded => "silent: a later process speaks under this name",
        LocalStatus::Exhausted => "silent: there is no higher life",
        LocalStatus::Left => "has left",
    }
}

fn row(now: Duration, peer: &PeerView) -> [String; COLUMNS] {
    let ago = |at: Option<Duration>| at.map_or("-".to_owned(), |at| span(now.saturating_sub(at)));
    let status = match peer.status {
        Status::Unknown => "unknown",
        Status::Live => "live",
        Status::Suspect => "suspect",
        Status::Dead => "dead",
        Status::Left => "left",
    };
    let round_trip =
        peer.round_trip.map_or("-".to_owned(), |span| format!("{:.1} ms", span.as_secs_f64() * 1e3));
    [
        peer.name.clone(),
        status.to_owned(),
        ago(Some(peer.since)),
        ago(peer.last_heard),
        path(now, peer).to_owned(),
        round_trip,
        incarnation(peer),
        peer.zone.clone(),
        peer.address.to_string(),
    ]
}

fn path(now: Duration, peer: &PeerView) -> &'static str {
    let is_unanswered = peer.last_direct_ack.is_none_or(|at| now.saturating_sub(at) > ONE_WAY_THRESHOLD);
    match peer.reach {
        None => "-",
        Some(Reach::Relayed) => "through others",
        Some(Reach::Direct) if is_unanswered && now > ONE_WAY_THRESHOLD => "does not hear this one",
        Some(Reach::Direct) => "straight",
    }
}

fn incarnation(peer: &PeerView) -> String {
    let Some(incarnation) = peer.incarnation else { return "-".to_owned() };
    let lost_state = if peer.lost_state { " (forgot)" } else { "" };
    let roster = if peer.roster_differs { " (other list)" } else { "" };
    format!("{}{lost_state}{roster}", incarnation.number)
}

fn span(span: Duration) -> String {
    match span.as_secs() {
        0 => format!("{} ms", span.as_millis()),
        seconds @ 1..=599 => format!("{seconds} s"),
        seconds @ 600..=35_999 => format!("{} min", seconds / 60),
        seconds => format!("{} h", seconds / 3600),
    }
}
