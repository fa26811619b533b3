//! The configuration as the platform hands it out.
use super::config_schema::ConfigSchema;
use super::endpoint_list::EndpointList;
use super::resource_budget::ResourceLimits;
use crate::profile::Profile;
use micadrum_config::OperatorConfig;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// What a sender is told at its start, and again at a reload.
#[derive(Deserialize)]
pub struct Config {
    /// The sender's name, the same after a restart.
    #[serde(default)]
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if they do.
    #[serde(default)]
    pub management: Option<SocketAddr>,
    /// Where the list comes from and notices go.
    pub discovery: SocketAddr,
    /// For random numbers, hexadecimal.
    pub seed: String,
    /// The machine's limits.
    pub limits: ResourceLimits,
    /// The list as this sender last had it.
    pub known: EndpointList,
    /// The settings of the decision module.
    pub settings: Profile,
    /// What the operator's file turns on; nothing where there is none.
    #[serde(skip)]
    pub operator: OperatorConfig,
    /// The secret that its `[peers]` names.
    #[serde(skip)]
    pub secret: Option<[u8; 32]>,
    /// The text that it was read from.
    #[serde(skip)]
    text: Vec<u8>,
}

impl Config {
    /// Reads it from its JSON.
    ///
    /// # Errors
    /// Where the text is no configuration, and why.
    pub fn parse(text: &[u8]) -> Result<Self, serde_json::Error> {
        Ok(Self { text: text.to_owned(), ..serde_json::from_slice(text)? })
    }

    /// The same with what the operator's file turns on, and the secret that it names.
    #[must_use]
    pub fn with_operator(self, operator: OperatorConfig, secret: Option<[u8; 32]>) -> Self {
        Self { operator, secret, ..self }
    }

    /// Whether both were read from the same text, and go with the same file of the operator's.
    pub(super) fn reads_as(&self, other: &Self) -> bool {
        (&self.text, &self.operator, self.secret) == (&other.text, &other.operator, other.secret)
    }

    /// The keys that every later configuration has to hold. The list is no setting: it comes as it is.
    pub(super) fn shape(&self) -> ConfigSchema {
        let mut shape = ConfigSchema::of(&self.value());
        shape.loosen("known");
        shape
    }

    /// The first key of an earlier one that this one lacks.
    pub(super) fn lacks(&self, shape: &ConfigSchema) -> Option<String> {
        shape.missing(&self.value())
    }

    fn value(&self) -> Value {
        // It was read before.
        serde_json::from_slice(&self.text).unwrap_or_default()
    }
}
