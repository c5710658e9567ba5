/** Generated wire types of {@code baobabcroft.slot}; see the .proto file of the same name. */
package baobabcroft.slot.proto;
