//! What a sender believes of its peers, as a table.
use micadrum_membership::{PeerView, Reach, Standing, Status, View};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

/// A member that has not answered straight for so long, and is heard straight all the same, does not hear this one.
const ONE_WAY: Duration = Duration::from_secs(30);

/// The table, with how the sender stands itself above it.
pub fn table(view: &Option<View>) -> String {
    let Some(view) = view else { return "peers: not speaking yet: the address is not free\n".to_owned() };
    let mut text = format!("{}: life {}, {}", view.own, view.life.number, standing(view.standing));
    let mut add = |what: &str| {
        let _ = write!(text, "; {what}");
    };
    if view.forgot {
        add("has forgotten earlier lives");
    }
    if view.cut_off {
        add("hears nobody: what stands below says nothing of the others");
    }
    if view.doubt > 0 {
        add(&format!("doubts itself ({} of 8)", view.doubt));
    }
    let counts = view.counts;
    let _ = writeln!(
        text,
        "\nsent {} datagrams, {} bytes, held back {}; came {}: {} foreign, {} forged, {} stale, {} too many",
        counts.sent,
        counts.sent_bytes,
        counts.held_back,
        counts.came,
        counts.foreign,
        counts.forged,
        counts.stale,
        counts.flooded
    );
    let mut rows = vec![
        ["member", "status", "since", "heard", "way", "there and back", "life", "building", "address"]
            .map(str::to_owned),
    ];
    rows.extend(view.peers.iter().map(|peer| row(view.at, peer)));
    let widths: Vec<usize> = (0..9).map(|n| rows.iter().map(|row| row[n].len()).max().unwrap_or(0)).collect();
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        let _ = writeln!(text, "{}", cells.join("  ").trim_end());
    }
    text
}

/// What one member sees, or why it did not say, as the door tells it.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Seen {
    View(Box<View>),
    Silent(String),
}

/// Who sees whom: a row a member that was asked, a column a member that is seen.
pub fn matrix(all: &Option<BTreeMap<String, Seen>>) -> String {
    let Some(all) = all else { return "peers: not speaking yet: the address is not free\n".to_owned() };
    let width = all.keys().map(String::len).max().unwrap_or(0).max(4);
    let mut text = format!("{:width$}", "");
    for name in all.keys() {
        let _ = write!(text, " {name:>width$}");
    }
    text.push('\n');
    for (name, seen) in all {
        let _ = write!(text, "{name:width$}");
        match seen {
            Seen::Silent(why) => drop(write!(text, " {why}")),
            Seen::View(view) => {
                let cell = |other: &String| {
                    let peer = view.peers.iter().find(|peer| peer.name == *other);
                    match peer.map(|peer| peer.status) {
                        None if other == name => "-",
                        None => "?",
                        Some(Status::Unknown) => ".",
                        Some(Status::Live) => "live",
                        Some(Status::Suspect) => "susp",
                        Some(Status::Dead) => "DEAD",
                        Some(Status::Left) => "left",
                    }
                };
                for other in all.keys() {
                    let _ = write!(text, " {:>width$}", cell(other));
                }
            }
        }
        text.push('\n');
    }
    text
}

fn standing(standing: Standing) -> &'static str {
    match standing {
        Standing::Writing => "silent until its life is written down",
        Standing::Asking => "not yet known to most",
        Standing::Settled => "known to most",
        Standing::Superseded => "silent: a later process speaks under this name",
        Standing::Exhausted => "silent: there is no higher life",
        Standing::Left => "has left",
    }
}

fn row(now: Duration, peer: &PeerView) -> [String; 9] {
    let ago = |at: Option<Duration>| at.map_or("-".to_owned(), |at| span(now.saturating_sub(at)));
    let status = match peer.status {
        Status::Unknown => "unknown",
        Status::Live => "live",
        Status::Suspect => "suspect",
        Status::Dead => "dead",
        Status::Left => "left",
    };
    let unanswered = peer.answered.is_none_or(|at| now.saturating_sub(at) > ONE_WAY);
    let way = match peer.reach {
        None => "-",
        Some(Reach::Relayed) => "through others",
        Some(Reach::Direct) if unanswered && now > ONE_WAY => "does not hear this one",
        Some(Reach::Direct) => "straight",
    };
    let life = peer.life.map_or("-".to_owned(), |life| {
        let forgot = if peer.forgot { " (forgot)" } else { "" };
        format!("{}{forgot}{}", life.number, if peer.other_list { " (other list)" } else { "" })
    });
    let round_trip =
        peer.round_trip.map_or("-".to_owned(), |span| format!("{:.1} ms", span.as_secs_f64() * 1e3));
    [
        peer.name.clone(),
        status.to_owned(),
        ago(Some(peer.since)),
        ago(peer.heard),
        way.to_owned(),
        round_trip,
        life,
        peer.building.clone(),
        peer.address.to_string(),
    ]
}

fn span(span: Duration) -> String {
    match span.as_secs() {
        0 => format!("{} ms", span.as_millis()),
        s @ 1..=599 => format!("{s} s"),
        s @ 600..=35_999 => format!("{} min", s / 60),
        s => format!("{} h", s / 3600),
    }
}
