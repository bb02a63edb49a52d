//! The images that a machine has cached or is fetching, inferred from its heartbeats and from placements.
//!
//! It assumes that the machine evicts the least recently used images and always keeps the last one used.

use crate::core::model::ImageKey;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// An image in a machine's cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedImage {
    /// The key of the image.
    pub image: ImageKey,
    /// The size of the image in GB.
    pub size_gb: f64,
}

/// An image that a machine is fetching.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ImageFetch {
    /// When the fetch was first known to be in progress.
    pub since: Instant,
    /// The size of the image in GB.
    pub size_gb: f64,
}

/// The images that one machine has cached or is fetching.
#[derive(Clone, Debug, Default)]
pub struct ImageCache {
    /// Cached images, the least recently used one first.
    cached: VecDeque<CachedImage>,
    /// Fetches in progress.
    fetches: BTreeMap<ImageKey, ImageFetch>,
}

impl ImageCache {
    /// Whether the machine has cached an image.
    pub fn contains(&self, image: ImageKey) -> bool {
        self.cached.iter().any(|c| c.image == image)
    }

    /// Adds an image as the most recently used one without evicting others.
    pub fn push(&mut self, image: CachedImage) {
        self.cached.push_back(image);
    }

    /// The fetch of an image; `None` if none is in progress.
    pub fn fetch(&self, image: ImageKey) -> Option<&ImageFetch> {
        self.fetches.get(&image)
    }

    /// The number of fetches in progress.
    pub fn fetch_count(&self) -> usize {
        self.fetches.len()
    }

    /// The total size of the images that are being fetched, in GB.
    pub fn fetching_gb(&self) -> f64 {
        self.fetches.values().map(|fetch| fetch.size_gb).sum()
    }

    /// Records that a fetch is in progress. The start time of a known fetch is kept.
    pub(in crate::core) fn record_fetch(&mut self, now: Instant, image: ImageKey, size_gb: f64) {
        let fetch = ImageFetch {
            since: now,
            size_gb,
        };
        self.fetches.entry(image).or_insert(fetch);
    }

    /// Records that a task uses an image, so that it is cached and its fetch has ended. The least recently
    /// used images are evicted until the rest fits into `capacity_gb`.
    pub(in crate::core) fn record_use(&mut self, image: ImageKey, size_gb: f64, capacity_gb: f64) {
        self.fetches.remove(&image);
        if self.cached.back().is_some_and(|c| c.image == image) {
            return;
        }
        self.cached.retain(|c| c.image != image);
        self.cached.push_back(CachedImage { image, size_gb });
        while self.cached.len() > 1 && self.cached_gb() > capacity_gb {
            self.cached.pop_front();
        }
    }

    /// Removes all fetches, which end when no task is placed on the machine any more.
    pub(in crate::core) fn clear_fetches(&mut self) {
        self.fetches.clear();
    }

    /// Removes all images and fetches, after the agent restarted with an empty cache.
    pub(in crate::core) fn clear(&mut self) {
        self.cached.clear();
        self.fetches.clear();
    }

    fn cached_gb(&self) -> f64 {
        self.cached.iter().map(|c| c.size_gb).sum()
    }
}
