//! The model of the prompts that an engine has cached.

use sched::prefix::Cache;
use sched::request::Part;

fn prompt(parts: &[(u64, u64)]) -> Vec<Part> {
    parts.iter().map(|&(id, tokens)| Part { id, tokens }).collect()
}

macro_rules! cases {
    ($($name:ident($cache:ident) $body:block)*) => {
        $(#[test] fn $name() { let mut $cache = Cache::default(); $body })*
    };
}

cases! {
    nothing_is_cached_of_a_new_prompt(cache) {
        cache.insert(&prompt(&[(1, 500)]), 0);
        assert_eq!(cache.cached(&prompt(&[(2, 500)])), 0);
    }

    a_grown_session_is_cached_up_to_its_previous_length(cache) {
        cache.insert(&prompt(&[(1, 500), (2, 300)]), 0);
        assert_eq!(cache.cached(&prompt(&[(1, 500), (2, 900)])), 800);
    }

    a_part_counts_only_after_parts_that_are_fully_cached(cache) {
        cache.insert(&prompt(&[(1, 500), (2, 300), (3, 100)]), 0);
        assert_eq!(cache.cached(&prompt(&[(4, 500), (2, 300)])), 0);
        assert_eq!(cache.cached(&prompt(&[(1, 500), (2, 400), (3, 100)])), 800);
    }

    a_branch_of_a_session_reuses_the_shared_tokens(cache) {
        cache.insert(&prompt(&[(1, 500), (2, 900)]), 0);
        assert_eq!(cache.cached(&prompt(&[(1, 500), (2, 700), (9, 200)])), 1_200);
    }

    the_least_recently_used_session_is_evicted_first(cache) {
        cache.insert(&prompt(&[(1, 500), (2, 1_000)]), 2_000);
        cache.insert(&prompt(&[(1, 500), (3, 1_000)]), 2_000);
        assert_eq!(cache.cached(&prompt(&[(1, 500), (2, 1_000)])), 500);
        assert_eq!(cache.cached(&prompt(&[(1, 500), (3, 1_000)])), 1_500);
    }

    a_session_that_is_used_again_is_not_evicted(cache) {
        cache.insert(&prompt(&[(2, 800)]), 2_000);
        cache.insert(&prompt(&[(3, 800)]), 2_000);
        cache.insert(&prompt(&[(2, 900)]), 2_000);
        cache.insert(&prompt(&[(4, 800)]), 2_000);
        assert_eq!(cache.cached(&prompt(&[(2, 900)])), 900);
        assert_eq!(cache.cached(&prompt(&[(3, 800)])), 0);
    }

    a_prompt_larger_than_the_memory_does_not_block_later_ones(cache) {
        cache.insert(&prompt(&[(1, 500), (2, 5_000)]), 2_000);
        cache.insert(&prompt(&[(3, 700)]), 2_000);
        assert_eq!(cache.cached(&prompt(&[(3, 700)])), 700);
    }

    the_model_of_an_engine_with_unknown_memory_is_bounded(cache) {
        for id in 0..10_000 {
            cache.insert(&prompt(&[(id, 10)]), 0);
        }
        assert_eq!(cache.cached(&prompt(&[(0, 10)])), 0);
        assert_eq!(cache.cached(&prompt(&[(9_999, 10)])), 10);
    }
}
