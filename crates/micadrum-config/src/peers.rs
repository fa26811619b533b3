//! `[peers]`: the members of a fleet.
use crate::diagnostics::{FileError, SourceText, SpanSetting, nearest_name};
use crate::error::ChangeError;
use crate::units::{Rate, Span};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use toml::Spanned;

/// Upper bound on the members of a fleet.
pub const MAX_MEMBERS: usize = 1000;
/// Names appear in tables and in persisted records.
const MAX_NAME_BYTES: usize = 64;
/// Length of a public key in hexadecimal digits.
const KEY_HEX_DIGITS: usize = 64;

const PROBE_INTERVAL: SpanSetting = SpanSetting {
    key: "probe_every",
    default: Span::millis(100),
    min: Span::millis(50),
    max: Span::seconds(10),
};
const SUSPICION_TIMEOUT: SpanSetting = SpanSetting {
    key: "dead_after",
    default: Span::seconds(1),
    min: Span::millis(200),
    max: Span::seconds(300),
};
/// A suspect is probed at least this often before it is declared dead.
const MIN_PROBES_BEFORE_DEATH: u64 = 3;
/// The lower bounds suffice for the probes of a small fleet.
const DATAGRAMS_PER_SECOND: RateSetting =
    RateSetting { key: "datagrams", default: 400.0, min: 20.0, units_per_key_unit: 1.0 };
const BYTES_PER_SECOND: RateSetting =
    RateSetting { key: "kilobytes", default: 100_000.0, min: 4_000.0, units_per_key_unit: 1000.0 };

/// The key, the default and the lower bound of a rate, in units per second.
struct RateSetting {
    key: &'static str,
    default: f64,
    min: f64,
    /// How many units one unit of the key has: 1000 bytes for a key in kilobytes.
    units_per_key_unit: f64,
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMember {
    /// The member's name, as in its platform configuration.
    pub name: String,
    /// The address at which the member is reached by its peers.
    pub address: SocketAddr,
    /// The zone in which the member runs.
    pub zone: String,
    /// The member's X25519 public key.
    pub key: [u8; 32],
}

/// The validated section.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// This sender's name.
    pub own_name: String,
    /// The file with this sender's secret key, relative to the operator's file.
    pub secret_file: String,
    /// The address to listen at, if it differs from the one at which peers reach this sender.
    pub listen: Option<SocketAddr>,
    /// The time from one probe to the next.
    pub probe_interval: Span,
    /// How long a suspect has to stay silent before it is declared dead.
    pub suspicion_timeout: Span,
    /// Upper bound on datagrams sent per second.
    pub datagrams_per_second: f64,
    /// Upper bound on bytes sent per second.
    pub bytes_per_second: f64,
    /// All members, including this sender, by name.
    pub members: BTreeMap<String, PeerMember>,
}

/// The section as written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawPeers {
    secret: Spanned<String>,
    listen: Option<SocketAddr>,
    probe_every: Option<Spanned<Span>>,
    dead_after: Option<Spanned<Span>>,
    datagrams: Option<Spanned<Rate>>,
    kilobytes: Option<Spanned<Rate>>,
    #[serde(default)]
    member: Vec<Spanned<RawMember>>,
}

/// A member as written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMember {
    name: Spanned<String>,
    address: Spanned<SocketAddr>,
    #[serde(rename = "building")]
    zone: Spanned<String>,
    key: Spanned<String>,
}

/// Parses a key of 64 hexadecimal digits.
#[must_use]
pub fn parse_key(text: &str) -> Option<[u8; 32]> {
    let mut key = [0; 32];
    if text.len() != KEY_HEX_DIGITS || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return None;
    }
    for (byte, digits) in key.iter_mut().zip(text.as_bytes().chunks(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
    }
    Some(key)
}

impl RawPeers {
    /// Validates the section for the sender `own_name`.
    pub fn validate(self, text: &SourceText<'_>, own_name: &str) -> Result<Peers, FileError> {
        let probe_interval = text.span_within(self.probe_every, &PROBE_INTERVAL)?;
        let suspicion_position = self.dead_after.as_ref().map_or(0..0, Spanned::span);
        let suspicion_timeout = text.span_within(self.dead_after, &SUSPICION_TIMEOUT)?;
        if suspicion_timeout.0 < MIN_PROBES_BEFORE_DEATH * probe_interval.0 {
            let message =
                "`dead_after` must be at least three times `probe_every`: a suspect is asked again and again";
            return Err(text.error(suspicion_position, message));
        }
        let datagrams_per_second = rate_at_least(self.datagrams, &DATAGRAMS_PER_SECOND, text)?;
        let bytes_per_second = rate_at_least(self.kilobytes, &BYTES_PER_SECOND, text)?;
        let members = validate_members(self.member, text, own_name)?;
        if !members.contains_key(own_name) {
            let nearest = nearest_name(own_name, members.keys().map(String::as_str));
            let hint = nearest.map_or(String::new(), |nearest| format!("; the nearest is {nearest:?}"));
            let message = format!("this sender, {own_name:?}, is no member{hint}");
            return Err(text.error(self.secret.span(), message));
        }
        Ok(Peers {
            own_name: own_name.to_owned(),
            secret_file: self.secret.into_inner(),
            listen: self.listen,
            probe_interval,
            suspicion_timeout,
            datagrams_per_second,
            bytes_per_second,
            members,
        })
    }
}

/// Returns a rate in units per second, or the default if none is given.
fn rate_at_least(
    given: Option<Spanned<Rate>>,
    setting: &RateSetting,
    text: &SourceText<'_>,
) -> Result<f64, FileError> {
    let Some(given) = given else { return Ok(setting.default) };
    let rate = given.get_ref().0 * setting.units_per_key_unit;
    if rate >= setting.min {
        return Ok(rate);
    }
    let min = setting.min / setting.units_per_key_unit;
    Err(text.error(given.span(), format!("`{}` must be at least {min}/s", setting.key)))
}

fn validate_members(
    raw_members: Vec<Spanned<RawMember>>,
    text: &SourceText<'_>,
    own_name: &str,
) -> Result<BTreeMap<String, PeerMember>, FileError> {
    if let Some(surplus) = raw_members.get(MAX_MEMBERS) {
        return Err(text.error(surplus.span(), format!("no more than {MAX_MEMBERS} members")));
    }
    let mut table = MemberTable::default();
    for raw in raw_members {
        table.insert(raw.into_inner(), text, own_name)?;
    }
    Ok(table.members)
}

/// The members read so far, with what has to be unique among them.
#[derive(Default)]
struct MemberTable {
    members: BTreeMap<String, PeerMember>,
    /// The names of members by address.
    addresses: BTreeMap<SocketAddr, String>,
    /// The names of members by public key.
    keys: BTreeMap<[u8; 32], String>,
}

impl MemberTable {
    fn insert(&mut self, raw: RawMember, text: &SourceText<'_>, own_name: &str) -> Result<(), FileError> {
        let key = raw.validate(text, own_name)?;
        let RawMember { name, address, zone, key: key_text } = raw;
        let (name_span, address_span, key_span) = (name.span(), address.span(), key_text.span());
        let (name, address) = (name.into_inner(), address.into_inner());
        // An ephemeral port is no address yet, and cannot collide.
        let same_address = self.addresses.insert(address, name.clone()).filter(|_| address.port() != 0);
        if let Some(other) = same_address {
            return Err(text.error(address_span, format!("{other:?} has this address already")));
        }
        if let Some(other) = self.keys.insert(key, name.clone()) {
            let message = format!("{other:?} has this key already: each has its own");
            return Err(text.error(key_span, message));
        }
        let member = PeerMember { name: name.clone(), address, zone: zone.into_inner(), key };
        if self.members.insert(name.clone(), member).is_some() {
            return Err(text.error(name_span, format!("the member {name:?} stands twice")));
        }
        Ok(())
    }
}

impl RawMember {
    /// Validates the fields of one member by themselves, and returns its public key.
    fn validate(&self, text: &SourceText<'_>, own_name: &str) -> Result<[u8; 32], FileError> {
        let name = self.name.get_ref();
        let is_valid_name = (1..=MAX_NAME_BYTES).contains(&name.len())
            && name.chars().all(|character| character.is_ascii_graphic());
        if !is_valid_name {
            let message = format!("a name has 1 to {MAX_NAME_BYTES} visible ASCII characters and no space");
            return Err(text.error(self.name.span(), message));
        }
        let Some(key) = parse_key(self.key.get_ref()) else {
            let message = "a key has 64 hexadecimal digits: `micadrum key FILE` prints it";
            return Err(text.error(self.key.span(), message));
        };
        if self.zone.get_ref().trim().is_empty() {
            return Err(text.error(self.zone.span(), "the building needs a name"));
        }
        if self.address.get_ref().port() == 0 && name != own_name {
            let message = "others are reached at a port of their own, not at port 0";
            return Err(text.error(self.address.span(), message));
        }
        Ok(key)
    }
}

impl Peers {
    /// Checks whether a process that started with this section can reload `next`: members may be added, removed and
    /// moved, but this sender's own identity may not change.
    pub(crate) fn check_reload(&self, next: &Self) -> Result<(), ChangeError> {
        let (own, next_own) = (self.own_member(), next.own_member());
        if self.own_name != next.own_name {
            Err(ChangeError::OwnIdentity("name"))
        } else if own.map(|member| member.address) != next_own.map(|member| member.address)
            || self.listen != next.listen
        {
            Err(ChangeError::OwnIdentity("address"))
        } else if own.map(|member| member.key) != next_own.map(|member| member.key)
            || self.secret_file != next.secret_file
        {
            Err(ChangeError::OwnIdentity("key"))
        } else {
            Ok(())
        }
    }

    fn own_member(&self) -> Option<&PeerMember> {
        self.members.get(&self.own_name)
    }
}
