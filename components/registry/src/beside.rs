//! Checks reports about the local upstream against the node's settings.
//!
//! Any process that can reach the node's registration endpoint or write to the store can make claims
//! about the local upstream. The settings give the service that runs on the VM and its address, so a
//! report with a different service or address describes another upstream.

use crate::record::Instance;
use names::Name;
use std::net::SocketAddr;

/// Source of the name of the service that runs on the local VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    Settings,
    /// The registration of the upstream.
    Registration,
}

impl Origin {
    /// Fixed lower-case name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Origin::Settings => "settings",
            Origin::Registration => "registration",
        }
    }
}

/// The service that runs on the local VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalService {
    pub service: Name,
    /// Source of the name.
    pub origin: Origin,
}

/// The part of a report about the upstream that contradicts the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mismatch {
    Service,
    Address,
}

impl Mismatch {
    /// Fixed lower-case name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Mismatch::Service => "service",
            Mismatch::Address => "address",
        }
    }
}

/// Whether the declarations in force contain a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Declared {
    /// The service is declared.
    Yes,
    /// The service is not declared.
    No,
    /// No declarations are in force yet.
    Unknown,
}

/// The local upstream of a node as its settings describe it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfiguredUpstream {
    /// Its service, if set.
    pub service: Option<Name>,
    /// Its address, if set.
    pub address: Option<SocketAddr>,
}

impl ConfiguredUpstream {
    /// The reason why `reported` can't be the local upstream; `None` if it can.
    pub fn mismatch(
        &self,
        reported: &Instance,
        declared: impl Fn(&Name) -> Declared,
    ) -> Option<Mismatch> {
        if !self.accepts_service(&reported.service, declared) {
            return Some(Mismatch::Service);
        }
        let address = reported.address.parse().ok();
        if self.address.is_some() && self.address != address {
            return Some(Mismatch::Address);
        }
        None
    }

    /// The service that runs on the VM. `registered`, the service of the last accepted
    /// registration, takes precedence: settings that change while the upstream keeps running
    /// describe another upstream, or were changed by another party.
    pub fn service(&self, registered: Option<&Name>) -> Option<LocalService> {
        let local_service = |service: &Name, origin| LocalService {
            service: service.clone(),
            origin,
        };
        let from_upstream = registered.map(|service| local_service(service, Origin::Registration));
        let from_settings = self.service.as_ref();
        from_upstream.or(from_settings.map(|service| local_service(service, Origin::Settings)))
    }

    /// Whether `name` may be the service of this VM. The settings decide, unless the service in the
    /// settings is undeclared and `name` is declared: then the settings are assumed to be wrong.
    fn accepts_service(&self, name: &Name, declared: impl Fn(&Name) -> Declared) -> bool {
        match &self.service {
            Some(service) if service == name => true,
            Some(service) => declared(service) == Declared::No && declared(name) == Declared::Yes,
            None => declared(name) != Declared::No,
        }
    }
}
