//! Where the broker is, and how a connection to it is made.

use crate::settings::{BadSettings, QueueSettings};
use std::io;
use std::path::Path;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, ServerName};
use tokio_rustls::rustls::{ClientConfig, RootCertStore};

/// Where the broker is, and what it has to prove.
#[derive(Clone)]
pub struct Target {
    pub host: String,
    pub port: u16,
    pub tls: Option<(TlsConnector, String)>,
}

/// A connection to the broker.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}
impl<S: AsyncRead + AsyncWrite + Send + Unpin> Stream for S {}

impl Target {
    /// As the settings say; what they name is in the folder `base`.
    pub fn new(settings: &QueueSettings, base: &Path) -> Result<Target, BadSettings> {
        let b = &settings.broker;
        Ok(Target {
            host: b.host.clone(),
            port: b.port,
            tls: tls(settings, base)?,
        })
    }

    /// Connects, as `amqprs` does by itself where it is not told of another way.
    pub async fn connect(&self) -> io::Result<Box<dyn Stream>> {
        let stream = TcpStream::connect((self.host.as_str(), self.port)).await?;
        stream.set_nodelay(true)?;
        let Some((connector, name)) = &self.tls else {
            return Ok(Box::new(stream));
        };
        let name = ServerName::try_from(name.clone()).map_err(io::Error::other)?;
        Ok(Box::new(connector.connect(name, stream).await?))
    }
}

fn tls(
    settings: &QueueSettings,
    base: &Path,
) -> Result<Option<(TlsConnector, String)>, BadSettings> {
    let Some(tls) = &settings.broker.tls else {
        return Ok(None);
    };
    let path = base.join(&tls.roots);
    let bad =
        |what: String| BadSettings::File("broker.tls.roots", format!("{}: {what}", path.display()));
    let mut roots = RootCertStore::empty();
    for certificate in CertificateDer::pem_file_iter(&path).map_err(|e| bad(e.to_string()))? {
        roots
            .add(certificate.map_err(|e| bad(e.to_string()))?)
            .map_err(|e| bad(e.to_string()))?;
    }
    if roots.is_empty() {
        return Err(bad("no certificate".to_owned()));
    }
    let config = ClientConfig::builder()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = tls
        .name
        .clone()
        .unwrap_or_else(|| settings.broker.host.clone());
    Ok(Some((TlsConnector::from(Arc::new(config)), name)))
}
