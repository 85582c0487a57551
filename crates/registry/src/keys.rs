//! Access keys of the form `ID.SECRET`. Only a hash is stored, from which the secret can't be recovered.

use crate::names::Name;
use crate::state::{RegistryState, Role};

/// Why access is denied. It does not say which part of a key was wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AccessError {
    /// The key is unknown or wrong.
    #[error("this key opens nothing here")]
    InvalidKey,
    /// The connection has not logged in.
    #[error("log in first")]
    NotLoggedIn,
    /// The role is too low.
    #[error("role {has:?} may not do this: {needs:?} is needed")]
    RoleTooLow {
        /// Role of the key.
        has: Role,
        /// Role that the call requires.
        needs: Role,
    },
}

fn hash(id: &str, secret: &str) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_derive_key("saltdrum registry key, 1");
    hasher
        .update(id.as_bytes())
        .update(b".")
        .update(secret.as_bytes());
    hasher.finalize()
}

/// The text of a new key and the hash to store. The secret is 256 random bits, which no
/// dictionary attack can guess.
pub fn generate(id: &Name, random: [u8; 32]) -> (String, String) {
    let secret: String = random.iter().map(|b| format!("{b:02x}")).collect();
    let stored_hash = hash(&id.to_string(), &secret).to_hex().to_string();
    (format!("{id}.{secret}"), stored_hash)
}

/// The identifier and role of a key's text.
pub fn authenticate(state: &RegistryState, text: &str) -> Result<(Name, Role), AccessError> {
    let (id, secret) = text.rsplit_once('.').ok_or(AccessError::InvalidKey)?;
    let id: Name = id.parse().map_err(|_| AccessError::InvalidKey)?;
    let key = state.keys.get(&id).ok_or(AccessError::InvalidKey)?;
    let stored_hash = blake3::Hash::from_hex(&key.hash).map_err(|_| AccessError::InvalidKey)?;
    // The library compares hashes in constant time.
    if stored_hash == hash(&id.to_string(), secret) {
        Ok((id, key.role))
    } else {
        Err(AccessError::InvalidKey)
    }
}

/// Checks that a logged-in key is still valid and has the required role.
pub fn authorize(
    state: &RegistryState,
    id: Option<&Name>,
    needs: Role,
) -> Result<Name, AccessError> {
    let id = id.ok_or(AccessError::NotLoggedIn)?;
    let key = state.keys.get(id).ok_or(AccessError::InvalidKey)?;
    if key.role >= needs {
        Ok(id.clone())
    } else {
        Err(AccessError::RoleTooLow {
            has: key.role,
            needs,
        })
    }
}
