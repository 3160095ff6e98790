//! Fair sharing of slots and queues among client accounts, on services that are short of capacity.

#[path = "fair/bound.rs"]
mod bound;
#[path = "fair/closed_loop.rs"]
mod closed_loop;
#[path = "fair/drawn.rs"]
mod drawn;
#[path = "fair/duty.rs"]
mod duty;
#[path = "fair/loads.rs"]
mod loads;
#[path = "fair/one_queue.rs"]
mod one_queue;
#[path = "fair/order.rs"]
mod order;
#[path = "fair/world.rs"]
mod world;
