//! The configuration as the platform provides it. Where a field has another name in the file, an attribute
//! states it.
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

/// The configuration of a sender, read at startup and at each reload.
#[derive(Deserialize)]
pub struct Config {
    /// The name of the sender, which is the same after a restart.
    #[serde(default)]
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of the admin endpoint; `None` disables it.
    #[serde(rename = "management", default)]
    pub admin_listen: Option<SocketAddr>,
    /// The address of the discovery agent, which also receives notifications.
    pub discovery: SocketAddr,
    /// The seed for random numbers, in hexadecimal.
    pub seed: String,
    /// The resource limits of the machine.
    pub limits: ResourceLimits,
    /// The endpoint list to start with, as this sender last received it.
    #[serde(rename = "known")]
    pub initial_endpoints: EndpointList,
    /// The settings of the decision engine.
    pub settings: Profile,
    /// The features that the operator's file enables; all are disabled if there is no such file.
    #[serde(skip)]
    pub operator: OperatorConfig,
    /// The secret key that `[peers]` in the operator's file refers to.
    #[serde(skip)]
    pub secret: Option<[u8; 32]>,
    /// The text that the configuration was read from.
    #[serde(skip)]
    text: Vec<u8>,
}

/// An error of reading the configuration or a file that it refers to.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct ConfigReadError(#[from] Box<dyn Error>);

impl ConfigReadError {
    /// Wraps an error of reading the configuration.
    pub fn new(error: impl Into<Box<dyn Error>>) -> Self {
        Self(error.into())
    }
}

impl Config {
    /// Parses the JSON of a configuration.
    ///
    /// # Errors
    /// The text is not JSON, or does not match the format of the configuration.
    pub fn parse(text: &[u8]) -> Result<Self, serde_json::Error> {
        Ok(Self { text: text.to_owned(), ..serde_json::from_slice(text)? })
    }

    /// Sets the operator's file and the secret key that it refers to.
    #[must_use]
    pub fn with_operator(self, operator: OperatorConfig, secret: Option<[u8; 32]>) -> Self {
        Self { operator, secret, ..self }
    }

    /// Returns whether both configurations were parsed from the same text, and have the same operator's file
    /// and secret key.
    pub(super) fn has_same_source(&self, other: &Self) -> bool {
        (&self.text, &self.operator, self.secret) == (&other.text, &other.operator, other.secret)
    }

    /// Returns the keys that every later configuration has to contain. The initial endpoint list may have any
    /// content, because it is not a setting.
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
        // The text is valid JSON: `parse` has accepted it.
        serde_json::from_slice(&self.text).unwrap_or_default()
    }
}
