// Package peermessage defines the datagrams that direct entries send each other: one type for each
// kind of message, and the codec for all of them.
//
// A datagram carries its sender and one message. Fields have fixed numbers, and decoders skip numbers that
// they don't know, so that builds that differ can run side by side: a new kind or field takes a number
// that no build has used, and an entry of an older build ignores it. The numbers in use are those of
// type datagram; 18 was used with another meaning and stays unused.
//
// To whom each kind goes and how often it is repeated is told in docs/design/peer-messages.md. The package
// has no state.
package peermessage
