//! Tests the memory that the answers of a host share.

use eelgrasshill_ports::{AnswerMemory, MemoryUsedUp};

/// Guards against memory that is taken by large answers from small ones, or not given back.
#[test]
fn large_answers_leave_small_ones_their_memory() {
    const KIB: usize = 1 << 10;
    let memory = AnswerMemory::new(100 * KIB);
    let mut large = memory.lease();
    assert_eq!(large.resize(164 * KIB), Ok(()));
    assert_eq!(large.resize(165 * KIB), Err(MemoryUsedUp));
    let mut small = memory.lease();
    assert_eq!(small.resize(64 * KIB), Ok(()));
    assert_eq!(small.resize(65 * KIB), Err(MemoryUsedUp));
    assert_eq!(large.resize(100 * KIB), Ok(()));
    assert_eq!(small.resize(128 * KIB), Ok(()));
    drop(large);
    drop(small);
    assert_eq!(memory.lease().resize(164 * KIB), Ok(()));
}
