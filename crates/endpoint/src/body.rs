//! Bodies of responses, read up to a limit.

use reqwest::Response;

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error("{0}")]
    Interrupted(#[from] reqwest::Error),
    /// The body is longer than the limit, in bytes.
    #[error("the response body exceeds {0} bytes")]
    TooLong(usize),
}

/// Reads a body of up to `limit` bytes; what follows is left unread, which closes the connection.
///
/// # Errors
///
/// Returns an [`Error`] when the body is longer or the connection fails.
pub async fn read(mut response: Response, limit: usize) -> Result<Vec<u8>, Error> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        if body.len() + chunk.len() > limit {
            return Err(Error::TooLong(limit));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}
