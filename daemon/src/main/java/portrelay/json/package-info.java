/** Reads and writes JSON as a tree of plain objects. Depends on no other package; stateless and thread-safe. */
package portrelay.json;
