/* A counter that stays within its bound unless NO_BOUND is defined. */
byte count;

active proctype counter()
{
	do
#ifdef NO_BOUND
	:: count < 12 -> count++
#else
	:: count < 10 -> count++
#endif
	:: else -> break
	od;
	assert(count <= 10)
}
