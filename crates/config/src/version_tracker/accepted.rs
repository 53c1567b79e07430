//! A version with its content, and its form in the store.

use prost::Message as _;

use crate::schema::offer::Content;
use crate::{Document, RejectReason, Version, digest, schema};

/// A version with its content.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedVersion {
    /// Its number and digest.
    pub version: Version,
    /// Its content.
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

    /// Decodes what [`encode`](Self::encode) returned.
    ///
    /// # Errors
    ///
    /// [`RejectReason::Unreadable`] if the bytes are no version, and [`RejectReason::DigestDiffers`] if the content is not
    /// the one that the digest names.
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
