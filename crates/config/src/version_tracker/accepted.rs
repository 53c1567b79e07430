//! A version with its document, and its encoding in the store.

use prost::Message as _;

use crate::schema::offer::Content;
use crate::{Document, RejectReason, Version, digest, schema};

/// A version with its document.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedVersion {
    /// The number and digest.
    pub version: Version,
    /// The content of the version.
    pub document: Document,
}

impl AcceptedVersion {
    /// Encodes the version for the store.
    pub fn encode(&self) -> Vec<u8> {
        let offer = schema::Offer {
            version: Some(self.version.clone()),
            content: Some(Content::Snapshot(self.document.clone())),
            ..schema::Offer::default()
        };
        offer.encode_to_vec()
    }

    /// Decodes the bytes that [`encode`](Self::encode) returned.
    ///
    /// # Errors
    ///
    /// [`RejectReason::Unreadable`] if the bytes are no encoded version, and [`RejectReason::DigestDiffers`]
    /// if the document does not have the digest of the version.
    pub fn decode(bytes: &[u8]) -> Result<Self, RejectReason> {
        let offer =
            schema::Offer::decode(bytes).map_err(|error| RejectReason::Unreadable(error.to_string()))?;
        let (Some(version), Some(Content::Snapshot(document))) = (offer.version, offer.content) else {
            return Err(RejectReason::Unreadable("it holds no version".into()));
        };
        if digest(&document) != version.digest {
            return Err(RejectReason::DigestDiffers);
        }
        Ok(AcceptedVersion { version, document })
    }
}
