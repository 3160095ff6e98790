//! What stands beside a node by its settings, held against what is said of it.
//!
//! Whoever reaches a node's door, or writes to the store, may say anything of the upstream beside the node. The
//! settings say which service runs on the VM and where it serves, so a word that names another service or address is
//! not about this upstream.

use crate::record::Instance;
use names::Name;
use std::net::SocketAddr;

/// What says which service runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The settings.
    Settings,
    /// What the upstream says of itself.
    Registration,
}

impl Origin {
    /// A fixed lower-case name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Origin::Settings => "settings",
            Origin::Registration => "registration",
        }
    }
}

/// The service that runs on a VM, and what says so.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalService {
    /// The service.
    pub service: Name,
    /// What says so.
    pub origin: Origin,
}

/// What a word about the upstream says otherwise than the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mismatch {
    /// The service.
    Service,
    /// The address.
    Address,
}

impl Mismatch {
    /// A fixed lower-case name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Mismatch::Service => "service",
            Mismatch::Address => "address",
        }
    }
}

/// What is declared of a service, as far as declarations are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Declared {
    /// The declarations in force name it.
    Yes,
    /// They don't.
    No,
    /// None are in force yet.
    Unknown,
}

/// What the settings say of the upstream beside a node.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfiguredUpstream {
    /// Its service; none if they don't say.
    pub service: Option<Name>,
    /// Where it serves; none if they don't say.
    pub address: Option<SocketAddr>,
}

impl ConfiguredUpstream {
    /// What in `told` shows that it is about another upstream; none if it may be about this one.
    pub fn mismatch(
        &self,
        told: &Instance,
        declared: impl Fn(&Name) -> Declared,
    ) -> Option<Mismatch> {
        if !self.may_be(&told.service, declared) {
            return Some(Mismatch::Service);
        }
        let address = told.address.parse().ok();
        if self.address.is_some() && self.address != address {
            return Some(Mismatch::Address);
        }
        None
    }

    /// The service that runs on the VM. What its upstream last said and was believed goes first: settings that change while
    /// it goes on are those of another one, or somebody else's.
    pub fn service(&self, believed: Option<&Name>) -> Option<LocalService> {
        let named = |service: &Name, origin| LocalService {
            service: service.clone(),
            origin,
        };
        let from_upstream = believed.map(|service| named(service, Origin::Registration));
        let from_settings = self.service.as_ref();
        from_upstream.or(from_settings.map(|service| named(service, Origin::Settings)))
    }

    /// Whether `told` may be the service of this VM. The settings decide, unless nobody declares the service that they
    /// name while `told` is declared: then they are the ones that are wrong.
    fn may_be(&self, told: &Name, declared: impl Fn(&Name) -> Declared) -> bool {
        match &self.service {
            Some(service) if service == told => true,
            Some(service) => declared(service) == Declared::No && declared(told) == Declared::Yes,
            None => declared(told) != Declared::No,
        }
    }
}
