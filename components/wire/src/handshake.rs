//! How two nodes prove to each other that they belong to the fleet.
//!
//! Both hold the fleet's key. Each sends a random nonce and proves by HMAC-SHA-256 over both
//! nonces, both names and both boots that it holds the key. A stranger learns nothing it could use
//! again. The cost is one round trip and two HMACs for each connection, not for each frame.

use errors::{Error, Result, Step};
use hmac::{Hmac, Mac};
use names::{BootId, Name};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Version of the frames; both sides must have the same.
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
    /// Drawn at random for this connection.
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
    mine: Hello,
}

impl Handshake {
    /// A handshake of the process `vm`, `boot` with the fleet's key.
    pub fn new(key: &str, vm: Name, boot: BootId, nonce: u64) -> Handshake {
        Handshake {
            key: key.as_bytes().to_vec(),
            mine: Hello {
                version: PROTOCOL_VERSION,
                vm,
                boot,
                nonce,
            },
        }
    }

    /// The first message.
    pub fn hello(&self) -> Hello {
        self.mine.clone()
    }

    /// The accepting side's answer to `hello`.
    pub fn welcome(&self, hello: &Hello) -> Result<Welcome> {
        check_version(hello)?;
        Ok(Welcome {
            hello: self.mine.clone(),
            proof: self.prove("accept", hello, &self.mine),
        })
    }

    /// The connecting side checks `welcome` and gives its own proof.
    pub fn prove_to(&self, welcome: &Welcome) -> Result<Proof> {
        check_version(&welcome.hello)?;
        self.verify("accept", &self.mine, &welcome.hello, &welcome.proof)?;
        Ok(Proof {
            proof: self.prove("connect", &self.mine, &welcome.hello),
        })
    }

    /// The accepting side checks the proof of the side that sent `hello`.
    pub fn check(&self, hello: &Hello, proof: &Proof) -> Result<()> {
        self.verify("connect", hello, &self.mine, &proof.proof)
    }

    fn prove(&self, role: &str, connect: &Hello, accept: &Hello) -> Vec<u8> {
        self.mac(role, connect, accept)
            .finalize()
            .into_bytes()
            .to_vec()
    }

    fn verify(&self, role: &str, connect: &Hello, accept: &Hello, proof: &[u8]) -> Result<()> {
        let other = if connect == &self.mine {
            accept
        } else {
            connect
        };
        self.mac(role, connect, accept)
            .verify_slice(proof)
            .map_err(|_| Error::new(Step::Handshake, &other.vm, "does not hold the fleet's key"))
    }

    fn mac(&self, role: &str, connect: &Hello, accept: &Hello) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.key).expect("HMAC takes a key of any length");
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
        "speaks version {}, this node speaks {PROTOCOL_VERSION}",
        hello.version
    );
    Err(Error::new(Step::Handshake, &hello.vm, cause))
}

/// Encodes a handshake message.
pub fn encode_message(message: &impl Serialize) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).expect("a handshake message always encodes");
    buf
}

/// Decodes a handshake message that came from `peer`.
pub fn decode_message<T: DeserializeOwned>(peer: &str, bytes: &[u8]) -> Result<T> {
    ciborium::from_reader(bytes).map_err(|error| Error::new(Step::Handshake, peer, error))
}
