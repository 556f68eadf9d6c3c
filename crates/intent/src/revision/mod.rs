//! Revisions of a store across its eras.
//!
//! A store that comes back from an older copy gives revisions out again. It then
//! states a greater era. A revision of this crate has the era in its high bits,
//! so that every revision of an era is greater than all revisions of the eras
//! before it. A store that states no era is in era 0, and its revisions are
//! unchanged.

/// Number of low bits that hold the store's own revision if it states an era.
const ERA_SHIFT: u32 = 40;
/// Maximum era, so that the number of a list, which has eight bits more than a
/// revision, fits 64 bits.
pub const MAX_ERA: u64 = (1 << 16) - 1;
/// Maximum revision that a store which states no era may give out.
pub const MAX_REVISION: u64 = u64::MAX >> 8;
/// Maximum revision that a store which states an era may give out.
pub const MAX_REVISION_IN_ERA: u64 = (1 << ERA_SHIFT) - 1;

/// Returns the revision `own` that a store gave out in `era`; 0 if the store
/// states no era. Returns `None` if one of them exceeds its maximum.
pub fn compose(era: u64, own: u64) -> Option<u64> {
    let max = match era {
        0 => MAX_REVISION,
        _ => MAX_REVISION_IN_ERA,
    };
    (era <= MAX_ERA && own <= max).then_some((era << ERA_SHIFT) | own)
}

/// Returns the era in which a revision was given out.
pub fn era(revision: u64) -> u64 {
    revision >> ERA_SHIFT
}

/// Returns a revision as the store, which states an era, gave it out.
pub fn own(revision: u64) -> u64 {
    revision & MAX_REVISION_IN_ERA
}
