//! The stored form of machine groups.
//!
//! Kinds of machines, images and attempts are listed once for the whole group, in tables, and machines refer to them by
//! their position there. There are two forms of the same fields.
//!
//! The plain form is a JSON object:
//!
//! | Field | Content |
//! |-------|---------|
//! | `k`   | Kinds of machines: `[type, zone, spot, [port, offset]]`. `spot` is 0 or 1. The IPv4 address of a machine is its number plus the offset, which is the same for most machines of a cloud; `null` without an address. |
//! | `i`   | Images: `[name, size]`. |
//! | `a`   | Attempts: `[job, attempt number]`. |
//! | `m`   | Machines in order, each a list of numbers: the difference from the previous machine's number, kind, health, fenced incarnation, number of images, the images, then attempt and task number for each assignment. |
//! | `p`   | Preempted assignments: `[machine number, attempt, task number]`; left out if there are none. |
//!
//! The compact form is a JSON string: the base64 text (URL-safe, without padding) of a MessagePack array of the same
//! fields in the order `k`, `i`, `a`, `m`, `p`, with these differences:
//!
//! - `a` is sorted and flat: first the largest attempt number of all, then for each attempt the difference of its job
//!   number from that of the previous attempt, and the difference of its attempt number from the largest.
//! - For each machine in `m`, the health (bits 0 and 1), whether there is a fenced incarnation (bit 2) and the number
//!   of images (from bit 3 on) are one number. The fenced incarnation follows this number only if it is not zero.
//! - Assignments are triples: attempt, first task number, and a mask whose bit `n` stands for the task `first + n`.

mod reader;
mod writer;

use std::borrow::Cow;

/// Port, and offset of the IPv4 address from the machine's number; `None` without an address.
type AddressOffset = Option<(u16, i64)>;

/// What several machines have in common: machine type, zone, spot (0 or 1) and address.
type Kind = (String, String, u8, AddressOffset);

/// Name and size of an image.
type Image<'a> = (Cow<'a, str>, u64);

/// Job and attempt number.
type AttemptEntry = (u64, u64);

/// Machine number, attempt and task number.
type PreemptedEntry = (u64, u64, u64);

/// The fields of the plain form.
#[derive(serde::Serialize, serde::Deserialize)]
struct PlainFields<'a> {
    #[serde(rename = "k")]
    kinds: Vec<Kind>,
    #[serde(rename = "i", borrow)]
    images: Vec<Image<'a>>,
    #[serde(rename = "a")]
    attempts: Vec<AttemptEntry>,
    #[serde(rename = "m")]
    machines: Vec<Vec<u64>>,
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    preempted: Vec<PreemptedEntry>,
}

/// The fields of the compact form: kinds, images, attempts, machines, preempted assignments.
type CompactFields<'a> = (
    Vec<Kind>,
    Vec<Image<'a>>,
    Vec<u64>,
    Vec<Vec<u64>>,
    Vec<PreemptedEntry>,
);

/// Layout of the number of the compact form that holds the health, whether there is a fenced incarnation, and the
/// number of images.
mod header {
    /// Mask of the health.
    pub(super) const HEALTH_MASK: u64 = 0b11;
    /// Position of the bit that says whether a fenced incarnation follows.
    pub(super) const HAS_FENCED_INCARNATION_BIT: u32 = 2;
    /// Position of the lowest bit of the number of images.
    pub(super) const IMAGE_COUNT_SHIFT: u32 = 3;
}

#[cfg(test)]
mod tests;
