/** Generated wire types of {@code baobabcroft.claim}; see the .proto file of the same name. */
package baobabcroft.claim.proto;
