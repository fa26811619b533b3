//! The `[peers]` section: the members of a fleet, and the settings of the failure detector.
use crate::diagnostics::{FileError, SourceText, SpanSetting, nearest_name};
use crate::error::ChangeError;
use crate::units::{Rate, Span};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use toml::Spanned;

/// The maximum number of members of a fleet.
pub const MAX_MEMBERS: usize = 1000;
/// The maximum length of a member's name.
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
/// How many times a suspect is probed at least before it is declared dead.
const MIN_PROBES_BEFORE_DEATH: u64 = 3;
// The minimum rates are sufficient for the probes of a small fleet.
const DATAGRAMS_PER_SECOND: RateSetting =
    RateSetting { key: "datagrams", default: 400.0, min: 20.0, units_per_key_unit: 1.0 };
const BYTES_PER_SECOND: RateSetting =
    RateSetting { key: "kilobytes", default: 100_000.0, min: 4_000.0, units_per_key_unit: 1000.0 };

/// The key, the default and the inclusive minimum of a rate, in units per second.
struct RateSetting {
    key: &'static str,
    default: f64,
    min: f64,
    /// The factor from the unit of the key to the unit of the rate: 1000 from kilobytes to bytes.
    units_per_key_unit: f64,
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMember {
    /// The member's name, as in its platform configuration.
    pub name: String,
    /// The address at which its peers reach the member.
    pub address: SocketAddr,
    /// The zone in which the member runs.
    pub zone: String,
    /// The member's X25519 public key.
    pub key: [u8; 32],
}

/// The validated `[peers]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// This sender's name.
    pub own_name: String,
    /// The path of the file with this sender's secret key, relative to the folder of the operator's file.
    pub secret_file: String,
    /// The address to listen on, if it differs from the one at which peers reach this sender.
    pub listen: Option<SocketAddr>,
    /// The interval between probes.
    pub probe_interval: Span,
    /// How long a suspect may stay silent before it is declared dead.
    pub suspicion_timeout: Span,
    /// Upper bound on datagrams sent per second.
    pub datagrams_per_second: f64,
    /// Upper bound on bytes sent per second.
    pub bytes_per_second: f64,
    /// All members, including this sender, by name.
    pub members: BTreeMap<String, PeerMember>,
}

/// The section as written in the file.
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

/// A member as written in the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMember {
    name: Spanned<String>,
    address: Spanned<SocketAddr>,
    #[serde(rename = "building")]
    zone: Spanned<String>,
    key: Spanned<String>,
}

/// Parses a key of 64 hexadecimal digits; returns `None` if the text is anything else.
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
            let message = format!(
                "`dead_after` must be at least three times `probe_every` ({probe_interval}), \
                 but is {suspicion_timeout}"
            );
            return Err(text.error(suspicion_position, message));
        }
        let datagrams_per_second = rate_at_least(self.datagrams, &DATAGRAMS_PER_SECOND, text)?;
        let bytes_per_second = rate_at_least(self.kilobytes, &BYTES_PER_SECOND, text)?;
        let members = validate_members(self.member, text, own_name)?;
        if !members.contains_key(own_name) {
            let nearest = nearest_name(own_name, members.keys().map(String::as_str));
            let hint = nearest.map_or(String::new(), |nearest| format!("; did you mean {nearest:?}?"));
            let message = format!("this sender, {own_name:?}, is not listed as a member{hint}");
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
    Err(text.error(
        given.span(),
        format!("`{}` must be at least {min}/s, but is {}/s", setting.key, given.get_ref().0),
    ))
}

fn validate_members(
    raw_members: Vec<Spanned<RawMember>>,
    text: &SourceText<'_>,
    own_name: &str,
) -> Result<BTreeMap<String, PeerMember>, FileError> {
    if let Some(surplus) = raw_members.get(MAX_MEMBERS) {
        let message = format!("{} members listed, but at most {MAX_MEMBERS} are allowed", raw_members.len());
        return Err(text.error(surplus.span(), message));
    }
    let mut table = MemberTable::default();
    for raw in raw_members {
        table.insert(raw.into_inner(), text, own_name)?;
    }
    Ok(table.members)
}

/// The members validated so far, indexed by the fields that have to be unique.
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
        // Port 0 requests an ephemeral port, so two such addresses do not collide.
        let same_address = self.addresses.insert(address, name.clone()).filter(|_| address.port() != 0);
        if let Some(other) = same_address {
            return Err(text
                .error(address_span, format!("the address {address} is already used by member {other:?}")));
        }
        if let Some(other) = self.keys.insert(key, name.clone()) {
            let message = format!("this key is already used by member {other:?}: each member needs its own");
            return Err(text.error(key_span, message));
        }
        let member = PeerMember { name: name.clone(), address, zone: zone.into_inner(), key };
        if self.members.insert(name.clone(), member).is_some() {
            return Err(text.error(name_span, format!("the member {name:?} is listed twice")));
        }
        Ok(())
    }
}

impl RawMember {
    /// Validates the fields of the member independently of other members, and returns its public key.
    fn validate(&self, text: &SourceText<'_>, own_name: &str) -> Result<[u8; 32], FileError> {
        let name = self.name.get_ref();
        let is_valid_name = (1..=MAX_NAME_BYTES).contains(&name.len())
            && name.chars().all(|character| character.is_ascii_graphic());
        if !is_valid_name {
            let message = format!(
                "the name {name:?} must have 1 to {MAX_NAME_BYTES} visible ASCII characters and no space"
            );
            return Err(text.error(self.name.span(), message));
        }
        let Some(key) = parse_key(self.key.get_ref()) else {
            let message = "a public key must have 64 hexadecimal digits, as printed by `micadrum key FILE`";
            return Err(text.error(self.key.span(), message));
        };
        if self.zone.get_ref().trim().is_empty() {
            return Err(text.error(self.zone.span(), "`building` must not be empty"));
        }
        if self.address.get_ref().port() == 0 && name != own_name {
            let message = "the address of another member must have a fixed port, not port 0";
            return Err(text.error(self.address.span(), message));
        }
        Ok(key)
    }
}

impl Peers {
    /// Checks whether a process that started with this section can reload `next`. Other members may be added,
    /// removed or changed, but this sender's own name, address and key may not change.
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
