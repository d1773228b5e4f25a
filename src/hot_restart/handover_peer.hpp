// The two roles in a hot restart, as the other process has them.
#pragma once

namespace ivyreel {

// The process at the other end of a handover link: the one that this node replaces, or the one that replaces
// this node.
enum class HandoverPeer { Predecessor, Successor };

}  // namespace ivyreel
