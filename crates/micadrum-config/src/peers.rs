//! `[peers]`: the senders of a fleet that know each other.
use crate::ChangeError;
use crate::diagnostics::{FileError, Text, nearest};
use crate::units::{Rate, Span};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use toml::Spanned;

/// No fleet has more members.
pub const MOST_MEMBERS: usize = 1000;
/// Names are shown in tables, and stand in records that last.
const MOST_NAME: usize = 64;
/// Bounds of what may be set, in the file's own words.
const PROBE_EVERY: (Span, Span) = (Span::millis(50), Span::seconds(10));
const DEAD_AFTER: (Span, Span) = (Span::millis(200), Span::seconds(300));
/// Less than this does not carry the probes of a small fleet, in bytes a second.
const LEAST_BYTES: f64 = 4_000.0;
const LEAST_DATAGRAMS: f64 = 20.0;

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMember {
    /// Its name: that of its platform configuration.
    pub name: String,
    /// Where it hears its peers.
    pub address: SocketAddr,
    /// The building that it stands in.
    pub building: String,
    /// Its public key (X25519).
    pub key: [u8; 32],
}

/// The whole part, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// This sender's name.
    pub own: String,
    /// The file with its secret key; relative to the operator's file.
    pub secret: String,
    /// Where it listens, where that is not where others reach it.
    pub listen: Option<SocketAddr>,
    /// From one probe to the next.
    pub probe_every: Span,
    /// A suspect that says nothing for so long is dead.
    pub dead_after: Span,
    /// Datagrams a second that it sends at the most.
    pub datagrams: f64,
    /// Bytes a second that it sends at the most.
    pub bytes: f64,
    /// All members, this sender too, by name.
    pub members: BTreeMap<String, PeerMember>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Raw {
    secret: Spanned<String>,
    listen: Option<SocketAddr>,
    probe_every: Option<Spanned<Span>>,
    dead_after: Option<Spanned<Span>>,
    datagrams: Option<Spanned<Rate>>,
    kilobytes: Option<Spanned<Rate>>,
    #[serde(default)]
    member: Vec<Spanned<RawMember>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMember {
    name: Spanned<String>,
    address: Spanned<SocketAddr>,
    building: Spanned<String>,
    key: Spanned<String>,
}

/// Reads 64 hexadecimal digits.
#[must_use]
pub fn key(text: &str) -> Option<[u8; 32]> {
    let mut key = [0; 32];
    if text.len() != 64 || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return None;
    }
    for (byte, digits) in key.iter_mut().zip(text.as_bytes().chunks(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
    }
    Some(key)
}

impl Raw {
    pub fn check(self, text: &Text<'_>, own: &str) -> Result<Peers, FileError> {
        let within = |given: Option<Spanned<Span>>, usual: Span, (least, most): (Span, Span), name: &str| {
            let Some(given) = given else { return Ok(usual) };
            let span = *given.get_ref();
            let what = || format!("`{name}` must lie between {least} and {most}");
            if (least..=most).contains(&span) { Ok(span) } else { Err(text.wrong(given.span(), what())) }
        };
        let at_least = |given: Option<Spanned<Rate>>, usual: f64, factor: f64, least: f64, name: &str| {
            let Some(given) = given else { return Ok(usual) };
            let rate = given.get_ref().0 * factor;
            let what = || format!("`{name}` must be at least {}/s", least / factor);
            if rate >= least { Ok(rate) } else { Err(text.wrong(given.span(), what())) }
        };
        let probe_every = within(self.probe_every, Span::millis(100), PROBE_EVERY, "probe_every")?;
        let dead_place = self.dead_after.as_ref().map_or(0..0, Spanned::span);
        let dead_after = within(self.dead_after, Span::seconds(1), DEAD_AFTER, "dead_after")?;
        if dead_after.0 < 3 * probe_every.0 {
            let what =
                "`dead_after` must be at least three times `probe_every`: a suspect is asked again and again";
            return Err(text.wrong(dead_place, what));
        }
        let datagrams = at_least(self.datagrams, 400.0, 1.0, LEAST_DATAGRAMS, "datagrams")?;
        let bytes = at_least(self.kilobytes, 100_000.0, 1000.0, LEAST_BYTES, "kilobytes")?;
        let mut members = BTreeMap::<String, PeerMember>::new();
        let mut addresses = BTreeMap::new();
        let mut keys = BTreeMap::new();
        if let Some(beyond) = self.member.get(MOST_MEMBERS) {
            return Err(text.wrong(beyond.span(), format!("no more than {MOST_MEMBERS} members")));
        }
        for raw in self.member {
            let RawMember { name, address, building, key: written } = raw.into_inner();
            let at = name.span();
            let name = name.into_inner();
            let plain = |c: char| c.is_ascii_graphic();
            if name.is_empty() || name.len() > MOST_NAME || !name.chars().all(plain) {
                let what = format!("a name has 1 to {MOST_NAME} visible ASCII characters and no space");
                return Err(text.wrong(at, what));
            }
            let Some(public) = key(written.get_ref()) else {
                return Err(text.wrong(
                    written.span(),
                    "a key has 64 hexadecimal digits: `micadrum key FILE` prints it",
                ));
            };
            if building.get_ref().trim().is_empty() {
                return Err(text.wrong(building.span(), "the building needs a name"));
            }
            let reached = *address.get_ref();
            if reached.port() == 0 && name != own {
                return Err(
                    text.wrong(address.span(), "others are reached at a port of their own, not at port 0")
                );
            }
            if let Some(other) = addresses.insert(reached, name.clone()).filter(|_| reached.port() != 0) {
                return Err(text.wrong(address.span(), format!("{other:?} has this address already")));
            }
            if let Some(other) = keys.insert(public, name.clone()) {
                return Err(
                    text.wrong(written.span(), format!("{other:?} has this key already: each has its own"))
                );
            }
            let member = PeerMember {
                name: name.clone(),
                address: reached,
                building: building.into_inner(),
                key: public,
            };
            if members.insert(name.clone(), member).is_some() {
                return Err(text.wrong(at, format!("the member {name:?} stands twice")));
            }
        }
        if !members.contains_key(own) {
            let near = nearest(own, members.keys().map(String::as_str));
            let near = near.map_or(String::new(), |near| format!("; the nearest is {near:?}"));
            return Err(text.wrong(self.secret.span(), format!("this sender, {own:?}, is no member{near}")));
        }
        let secret = self.secret.into_inner();
        Ok(Peers {
            own: own.to_owned(),
            secret,
            listen: self.listen,
            probe_every,
            dead_after,
            datagrams,
            bytes,
            members,
        })
    }
}

impl Peers {
    /// Whether a process that began with this can follow `next`: members may come, go and move; what this one is known
    /// by may not change.
    pub(crate) fn may_become(&self, next: &Self) -> Result<(), ChangeError> {
        let own = |peers: &Self| peers.members.get(&peers.own).cloned();
        let (now, then) = (own(self), own(next));
        let same = |part: fn(&PeerMember) -> String| now.as_ref().map(part) == then.as_ref().map(part);
        if self.own != next.own {
            Err(ChangeError::Own("name"))
        } else if !same(|m| m.address.to_string()) || self.listen != next.listen {
            Err(ChangeError::Own("address"))
        } else if !same(|m| format!("{:?}", m.key)) || self.secret != next.secret {
            Err(ChangeError::Own("key"))
        } else {
            Ok(())
        }
    }
}
