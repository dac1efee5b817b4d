//! The broker's address, and connections to it with or without TLS.

use crate::settings::{FileError, QueueSettings, SettingsError, TlsSettings};
use std::io;
use std::path::Path;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, ServerName};
use tokio_rustls::rustls::{ClientConfig, RootCertStore};

/// How the broker is authenticated.
#[derive(Clone)]
pub(super) struct TlsIdentity {
    pub connector: TlsConnector,
    /// The name that the broker's certificate must have.
    pub server_name: String,
}

/// The broker's address.
#[derive(Clone)]
pub(super) struct Endpoint {
    pub host: String,
    pub port: u16,
    pub tls: Option<TlsIdentity>,
}

/// A connection to the broker.
pub(super) trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}
impl<S: AsyncRead + AsyncWrite + Send + Unpin> Stream for S {}

impl Endpoint {
    /// The endpoint of the settings. Relative paths are relative to `base_dir`.
    pub fn new(settings: &QueueSettings, base_dir: &Path) -> Result<Endpoint, SettingsError> {
        let broker = &settings.broker;
        let tls = broker.tls.as_ref();
        Ok(Endpoint {
            host: broker.host.clone(),
            port: broker.port,
            tls: tls
                .map(|tls| tls_identity(tls, &broker.host, base_dir))
                .transpose()?,
        })
    }

    /// Connects in the same way as the AMQP library does.
    pub async fn connect(&self) -> io::Result<Box<dyn Stream>> {
        let stream = TcpStream::connect((self.host.as_str(), self.port)).await?;
        stream.set_nodelay(true)?;
        let Some(tls) = &self.tls else {
            return Ok(Box::new(stream));
        };
        let name = ServerName::try_from(tls.server_name.clone()).map_err(io::Error::other)?;
        Ok(Box::new(tls.connector.connect(name, stream).await?))
    }
}

fn tls_identity(
    tls: &TlsSettings,
    host: &str,
    base_dir: &Path,
) -> Result<TlsIdentity, SettingsError> {
    let path = base_dir.join(&tls.root_certificates);
    let roots = load_roots(&path).map_err(|source| SettingsError::File {
        field: "broker.tls.roots",
        path,
        source,
    })?;
    let config = ClientConfig::builder()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let server_name = tls.server_name.clone();
    Ok(TlsIdentity {
        connector: TlsConnector::from(Arc::new(config)),
        server_name: server_name.unwrap_or_else(|| host.to_owned()),
    })
}

fn load_roots(path: &Path) -> Result<RootCertStore, FileError> {
    let mut roots = RootCertStore::empty();
    for certificate in CertificateDer::pem_file_iter(path)? {
        roots.add(certificate?)?;
    }
    if roots.is_empty() {
        return Err(FileError::NoCertificate);
    }
    Ok(roots)
}
