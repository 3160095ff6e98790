//! Mutual authentication of two nodes of the fleet.
//!
//! Both hold the fleet's key. Each sends a random nonce and proves that it holds the key by an
//! HMAC-SHA-256 over both nonces, both names and both boots. An attacker can't reuse the proof on
//! another connection. The cost is one round trip and two HMACs per connection, not per frame.

use errors::{Error, Result, Step};
use hmac::{Hmac, Mac};
use names::{BootId, Name};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Version of the frames. Both sides must use the same.
pub const PROTOCOL_VERSION: u32 = 7;

/// First message, from the side that connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the sender's frames.
    pub version: u32,
    /// The sender's VM.
    pub vm: Name,
    /// The sender's boot.
    pub boot: BootId,
    /// Random number for this connection.
    pub nonce: u64,
}

/// Second message, from the side that accepts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The sender, as in [`Hello`].
    pub hello: Hello,
    /// Proof over both hellos.
    #[serde(with = "serde_bytes")]
    pub proof: Vec<u8>,
}

/// Third message, from the side that connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// Proof over both hellos.
    #[serde(with = "serde_bytes")]
    pub proof: Vec<u8>,
}

/// One side of a handshake.
#[derive(Debug, Clone)]
pub struct Handshake {
    key: Vec<u8>,
    own: Hello,
}

impl Handshake {
    /// Creates the handshake of the node on `vm` in its run `boot`, with the fleet's key.
    pub fn new(key: &str, vm: Name, boot: BootId, nonce: u64) -> Handshake {
        Handshake {
            key: key.as_bytes().to_vec(),
            own: Hello {
                version: PROTOCOL_VERSION,
                vm,
                boot,
                nonce,
            },
        }
    }

    /// Returns the first message.
    pub fn hello(&self) -> Hello {
        self.own.clone()
    }

    /// Returns the accepting side's reply to `hello`.
    pub fn welcome(&self, hello: &Hello) -> Result<Welcome> {
        check_version(hello)?;
        Ok(Welcome {
            hello: self.own.clone(),
            proof: self.prove("accept", hello, &self.own),
        })
    }

    /// Checks `welcome` on the connecting side and returns that side's proof.
    pub fn prove_to(&self, welcome: &Welcome) -> Result<Proof> {
        check_version(&welcome.hello)?;
        self.verify("accept", &self.own, &welcome.hello, &welcome.proof)?;
        Ok(Proof {
            proof: self.prove("connect", &self.own, &welcome.hello),
        })
    }

    /// Checks on the accepting side the proof of the peer that sent `hello`.
    pub fn check(&self, hello: &Hello, proof: &Proof) -> Result<()> {
        self.verify("connect", hello, &self.own, &proof.proof)
    }

    fn prove(&self, role: &str, connect: &Hello, accept: &Hello) -> Vec<u8> {
        self.mac(role, connect, accept)
            .finalize()
            .into_bytes()
            .to_vec()
    }

    fn verify(&self, role: &str, connect: &Hello, accept: &Hello, proof: &[u8]) -> Result<()> {
        let peer = if connect == &self.own {
            accept
        } else {
            connect
        };
        self.mac(role, connect, accept)
            .verify_slice(proof)
            .map_err(|_| Error::new(Step::Handshake, &peer.vm, "does not hold the fleet's key"))
    }

    fn mac(&self, role: &str, connect: &Hello, accept: &Hello) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.key).expect("HMAC accepts keys of any length");
        mac.update(role.as_bytes());
        for hello in [connect, accept] {
            mac.update(&hello.version.to_le_bytes());
            mac.update(&(hello.vm.as_str().len() as u64).to_le_bytes());
            mac.update(hello.vm.as_str().as_bytes());
            mac.update(&hello.boot.0.to_le_bytes());
            mac.update(&hello.nonce.to_le_bytes());
        }
        mac
    }
}

fn check_version(hello: &Hello) -> Result<()> {
    if hello.version == PROTOCOL_VERSION {
        return Ok(());
    }
    let cause = format!(
        "uses protocol version {}, this node uses {PROTOCOL_VERSION}",
        hello.version
    );
    Err(Error::new(Step::Handshake, &hello.vm, cause))
}

pub fn encode_message(message: &impl Serialize) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).expect("a handshake message always encodes");
    buf
}

/// Decodes a handshake message received from `peer`.
pub fn decode_message<T: DeserializeOwned>(peer: &str, bytes: &[u8]) -> Result<T> {
    ciborium::from_reader(bytes).map_err(|error| Error::new(Step::Handshake, peer, error))
}
