//! The configuration as the platform provides it. Fields whose name in the file is another say so.
use super::config_schema::ConfigSchema;
use super::endpoint_list::EndpointList;
use super::resource_budget::ResourceLimits;
use crate::profile::Profile;
use micadrum_config::OperatorConfig;
use serde::Deserialize;
use serde_json::Value;
use std::error::Error;
use std::net::SocketAddr;

/// The key of the initial endpoint list in the configuration file.
const INITIAL_ENDPOINTS_KEY: &str = "known";

/// What a sender is given at its start, and again at a reload.
#[derive(Deserialize)]
pub struct Config {
    /// The name of the sender, which it keeps over restarts.
    #[serde(default)]
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of the admin endpoint, if there is to be one.
    #[serde(rename = "management", default)]
    pub admin_listen: Option<SocketAddr>,
    /// The address of the discovery agent, which takes notifications, too.
    pub discovery: SocketAddr,
    /// The seed for random numbers, hexadecimal.
    pub seed: String,
    /// The limits of the machine.
    pub limits: ResourceLimits,
    /// The endpoint list as this sender last had it.
    #[serde(rename = "known")]
    pub initial_endpoints: EndpointList,
    /// The settings of the decision engine.
    pub settings: Profile,
    /// What the operator's file turns on; nothing where there is no such file.
    #[serde(skip)]
    pub operator: OperatorConfig,
    /// The secret that `[peers]` in the operator's file names.
    #[serde(skip)]
    pub secret: Option<[u8; 32]>,
    /// The text that the configuration was read from.
    #[serde(skip)]
    text: Vec<u8>,
}

/// Why the configuration, or a file that belongs to it, cannot be read.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct ConfigReadError(#[from] Box<dyn Error>);

impl ConfigReadError {
    /// Wraps the error of whoever reads the configuration.
    pub fn new(error: impl Into<Box<dyn Error>>) -> Self {
        Self(error.into())
    }
}

impl Config {
    /// Parses the JSON of a configuration.
    ///
    /// # Errors
    /// The text is not JSON, or not that of a configuration.
    pub fn parse(text: &[u8]) -> Result<Self, serde_json::Error> {
        Ok(Self { text: text.to_owned(), ..serde_json::from_slice(text)? })
    }

    /// Adds what the operator's file turns on, and the secret that the file names.
    #[must_use]
    pub fn with_operator(self, operator: OperatorConfig, secret: Option<[u8; 32]>) -> Self {
        Self { operator, secret, ..self }
    }

    /// Whether both were read from the same text, and belong to the same operator's file.
    pub(super) fn has_same_source(&self, other: &Self) -> bool {
        (&self.text, &self.operator, self.secret) == (&other.text, &other.operator, other.secret)
    }

    /// Returns the keys that every later configuration has to hold. The endpoint list is no setting, and may
    /// take any form.
    pub(super) fn schema(&self) -> ConfigSchema {
        let mut schema = ConfigSchema::of(&self.value());
        schema.allow_any_value(INITIAL_ENDPOINTS_KEY);
        schema
    }

    /// Returns the path of the first key in `schema` that this configuration lacks.
    pub(super) fn missing_key(&self, schema: &ConfigSchema) -> Option<String> {
        schema.missing_key(&self.value())
    }

    fn value(&self) -> Value {
        // The text has been parsed before.
        serde_json::from_slice(&self.text).unwrap_or_default()
    }
}
