//! Errors of settings.

use std::path::PathBuf;
use thiserror::Error;

/// Why settings cannot be used. The text is one line that names the field.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// Not the JSON of the schema.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// A value that is not allowed.
    #[error("{field}: must be {requirement}")]
    InvalidField {
        /// Path of the field.
        field: &'static str,
        /// What the value must be.
        requirement: &'static str,
    },
    /// A file that cannot be used.
    #[error("{field}: {}: {source}", path.display())]
    File {
        /// Path of the field that names the file.
        field: &'static str,
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: FileError,
    },
}

/// Why a file that the settings name cannot be used.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Not a file with a user's name and a password.
    #[error("expected two lines: a user name and a password")]
    NotCredentials,
    /// Not in the PEM format.
    #[error(transparent)]
    InvalidPem(#[from] tokio_rustls::rustls::pki_types::pem::Error),
    /// A certificate that cannot be trusted.
    #[error(transparent)]
    InvalidCertificate(#[from] tokio_rustls::rustls::Error),
    /// A PEM file without any certificate.
    #[error("the file contains no certificate")]
    NoCertificate,
}
