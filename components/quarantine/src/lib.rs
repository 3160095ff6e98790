//! Which requests are kept from upstreams, because upstreams ended while they ran them.
//!
//! A request is known by its [`Fingerprint`], which copies that callers send again have in common. The node beside
//! an upstream that ended tells all nodes what was at work there ([`Suspect`]). From then on a copy runs apart from
//! other suspects, at one upstream on which all nodes agree ([`suspect_order`]), until one has run to its end: that clears
//! it. One under which upstreams go on ending is held: no upstream sees it any more. What has run to a good end
//! lately is neither: requests that many callers send are at work wherever an upstream ends. [`Quarantine`] is what one
//! node knows; time is passed in, and what it says is carried by frames, by nodes' records and by the store.

mod fingerprint;
mod order;
mod recent;
mod table;

pub use fingerprint::Fingerprint;
pub use order::suspect_order;
pub use table::{Quarantine, Suspect, Verdict};
