//! Entries on the users' platform, against stand-ins for its store and targets, over loopback.

mod answers;
mod bench;
mod calls;
mod configurations;
mod copies;
mod crashes;
mod cuts;
mod elsewhere;
mod endless;
mod extremes;
mod handovers;
mod holders;
mod leaving;
mod limits;
mod lists;
#[path = "../support/port.rs"]
mod port;
mod restores;
mod silence;
#[path = "../support/site.rs"]
mod site;
mod statuses;
mod stops;
mod streams;
mod waiting;
