//! Credentials for the broker.

use super::{BrokerSettings, FileError, SettingsError};
use std::path::Path;

/// Longest name of a user, in bytes.
const MAX_USER_BYTES: usize = 255;
/// Longest password, in bytes.
const MAX_PASSWORD_BYTES: usize = 4_095;

/// Name and password, which are never printed.
#[derive(Clone)]
pub struct Credentials {
    /// The user.
    pub user: String,
    /// The password.
    pub password: String,
}

impl std::fmt::Debug for Credentials {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Credentials")
    }
}

impl Credentials {
    /// Reads the file that the settings name; a relative path is relative to `base_dir`.
    ///
    /// # Errors
    ///
    /// [`SettingsError::File`] if the file cannot be read or does not have two lines.
    pub fn load(base_dir: &Path, settings: &BrokerSettings) -> Result<Credentials, SettingsError> {
        let path = base_dir.join(&settings.credentials_file);
        Credentials::read(&path).map_err(|source| SettingsError::File {
            field: "broker.credentials",
            path,
            source,
        })
    }

    fn read(path: &Path) -> Result<Credentials, FileError> {
        let text = std::fs::read_to_string(path)?;
        let mut lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
        match (lines.next(), lines.next()) {
            (Some(user), Some(password))
                if user.len() <= MAX_USER_BYTES && password.len() <= MAX_PASSWORD_BYTES =>
            {
                Ok(Credentials {
                    user: user.to_owned(),
                    password: password.to_owned(),
                })
            }
            _ => Err(FileError::NotCredentials),
        }
    }
}
