package peering

// StarvedDemandsShare is which part of the demands told to the leader work of groups which are
// behind may take ahead of all other, so that machines are rented for it as well.
const StarvedDemandsShare = 5
